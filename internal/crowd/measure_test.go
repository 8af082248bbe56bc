package crowd

import (
	"flag"
	"sync"
	"testing"
)

var (
	measuredClients = flag.Int("crowd.clients", 0, "measure a gateway's peak memory with crowds of that many clients")
	measuredMB      = flag.Int("crowd.memory", 284, "limits.memoryMb of the measured gateway")
)

// ordinarySizes are the sizes of the bodies that ordinary callers send beside a crowd.
var ordinarySizes = []int{100, 20 << 10, 1 << 20}

// callUntil sends ordinary requests, one at a time, until stop is closed, and prints how
// many were answered.
func callUntil(t *testing.T, stop <-chan struct{}, address string, size int) {
	statuses := make(map[int]int)
	for {
		select {
		case <-stop:
			t.Logf("beside the crowd, bodies of %d bytes: requests by status %v", size, statuses)
			return
		default:
			statuses[post(address, gatewayHeaders, size)]++
		}
	}
}

// TestMeasure prints a gateway's peak for each kind of crowd, and what ordinary callers beside
// it got. It checks nothing beyond what
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
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for _, size := range ordinarySizes {
				callers.Go(func() { callUntil(t, stop, address, size) })
			}
			k.run(address, gatewayHead)
			close(stop)
			callers.Wait()
			p.check(t, k.name, *measuredMB, descriptors)
		})
	}
}
