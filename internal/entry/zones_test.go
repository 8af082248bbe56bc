package entry

import (
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// Guards against models that only an evacuated zone holds and that nobody loads elsewhere, and
// against loads in that zone.
func TestModelsOfEvacuatedZonesAreLoadedElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	core := modelCore(t, now)
	var hosts []plat.Host
	for name, zone := range map[string]string{"holder": "a", "spare": "b"} {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive, Zone: zone})
	}
	core.Apply(now, HostsRead{Hosts: hosts})
	run := func() (loads string) {
		for i := range uint64((plannerWarmUp + 2*planInterval) / tickInterval) {
			now = now.Add(tickInterval)
			for _, host := range hosts {
				reportLoad(core, now, host.Name, uint64(now.UnixMilli())+i)
			}
			loads += loadHosts(core.Apply(now, Tick{}))
		}
		return loads
	}
	if loads := run(); loads != "" {
		t.Fatalf("loads at %s before the evacuation", loads)
	}
	core.index.Config.EvacuatedZones = map[string]config.EvacuatedZone{"a": {}}
	if loads := run(); !strings.HasPrefix(loads, "spare") || strings.Contains(loads, "holder") {
		t.Errorf("loads at %q, want at spare", loads)
	}
}
