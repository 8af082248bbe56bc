package edge

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/poison"
	"dogwoodfold/platform"
)

// Guards against a health check whose answer says that the endpoint is cold, or that another
// run answers, and that is misread.
func TestHealthCheckTellsHowLongAnEndpointIsCold(t *testing.T) {
	address := netip.MustParseAddrPort(serveLoopback(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.HeaderInstanceID, "shop-1")
		w.Header().Set(platform.HeaderCold, "1500")
	})))
	for id, cold := range map[string]bool{"shop-1": true, "shop-2": false} {
		result, err := probeHealth(gate.ProbeEngine{Run: poison.Run{Engine: id}, Address: address, HealthPath: healthPath, Plain: true})
		if err != nil {
			t.Fatal(err)
		}
		if result.coldKnown != cold || cold && result.cold != 1500*time.Millisecond || result.running != cold {
			t.Errorf("%s: %+v", id, result)
		}
	}
}
