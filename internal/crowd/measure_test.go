package crowd

import (
	"flag"
	"testing"
)

var (
	measuredClients = flag.Int("crowd.clients", 0, "measure a gateway's peak memory with crowds of that many clients")
	measuredMB      = flag.Int("crowd.memory", 284, "limits.memoryMb of the measured gateway")
)

// TestMeasure prints a gateway's peak for each kind of crowd. It checks nothing beyond what
// the tests check, since the peaks of large crowds depend on the machine.
func TestMeasure(t *testing.T) {
	if *measuredClients == 0 {
		t.Skip("-crowd.clients isn't set")
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			const descriptors = 4100
			p, address := startGateway(t, *measuredMB, descriptors)
			k.clients = *measuredClients
			k.run(address, gatewayHead)
			p.check(t, k.name, *measuredMB, descriptors)
		})
	}
}
