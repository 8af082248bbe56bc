package edge

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/gate"
)

// Second report of issue 55: faulty plain endpoints answer health checks without end, in the head or in
// the body, many at once. An eighth of the 184 MB of the smallest host may go to that.
func TestHealthChecksWithoutEndStayWithinMemory(t *testing.T) {
	const (
		checks    = 44
		allowedMB = 184 / 8
	)
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-A: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go (&fakes.Endless{Head: head}).Serve(listener)
			probe := gate.ProbeEngine{
				Address:    netip.MustParseAddrPort(listener.Addr().String()),
				HealthPath: healthPath,
			}
			peak := fakes.PeakHeap(func() {
				var group sync.WaitGroup
				for range checks {
					group.Go(func() { _, _ = probeHealth(probe) })
				}
				group.Wait()
			})
			if peak>>20 > allowedMB {
				t.Errorf("%d MB at the peak, %d allowed", peak>>20, allowedMB)
			}
		})
	}
}
