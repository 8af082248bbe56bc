package cmds

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/entry"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/strict"
	"dogwoodfold/internal/wire/wirepb"
)

// defaultZoneLatency is the one-way latency to zones that the settings don't list.
const defaultZoneLatency = time.Millisecond

// newEntryCommand returns the command that runs an entry.
func newEntryCommand() *cobra.Command {
	return newRoleCommand("entry", "Run an entry, which accepts callers' requests and forwards them to agents", &EntrySettings{})
}

// EntrySettings is the content of an entry's settings file.
type EntrySettings struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Listen accepts requests from callers, Peers connections from other
	// entries, and Admin read-only requests from operators.
	Listen netip.AddrPort `json:"listen"`
	Peers  netip.AddrPort `json:"peers"`
	Admin  netip.AddrPort `json:"admin"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// LogRetention is how long the log retains records; 0 means indefinitely.
	LogRetention time.Duration `json:"logRetention"`
	// IsolationLimit is how long the entry keeps admitting calls without hearing
	// from the log or any other entry. It defaults to 15 seconds.
	IsolationLimit time.Duration `json:"isolationLimit"`
	// ZoneLatency is the one-way latency to other availability zones, by zone.
	// It defaults to 1 ms for zones that it doesn't list.
	ZoneLatency map[string]time.Duration `json:"zoneLatency"`
	// StaticShare is this entry's fixed share of every customer's rate and
	// burst. If it is 0, the entries redistribute shares dynamically.
	StaticShare float64 `json:"staticShare"`
	// DrainDelay is how long an entry that is shutting down keeps accepting
	// requests after its readiness check starts to fail, because the load
	// balancer reacts with a delay. It defaults to 0.
	DrainDelay time.Duration `json:"drainDelay"`
	// StopLimit is the timeout of a graceful shutdown. It defaults to 10 minutes.
	StopLimit time.Duration `json:"stopLimit"`
	// WeightStore limits the load that planners put on the weight store.
	WeightStore WeightStoreLimits `json:"weightStore"`
	// MemoryMB is the memory in MB that the process may use. It defaults to 256.
	MemoryMB int      `json:"memoryMb"`
	TLS      TLSFiles `json:"tls"`
}

// options builds the options of the entry from its settings.
func (s *EntrySettings) options() (entry.Options, error) {
	tlsConfig, err := s.TLS.tlsConfig()
	if err != nil {
		return entry.Options{}, err
	}
	incarnation := newIncarnation()
	return entry.Options{
		Core: entry.CoreSettings{
			Host:        s.Host,
			Incarnation: incarnation,
			FixedShare:  s.StaticShare,
			Seed:        rand.Uint64(),
			DrainDelay:  s.DrainDelay,
			Zones: route.ZoneLatencies{
				Self:           s.Zone,
				ByZone:         s.ZoneLatency,
				DefaultLatency: defaultZoneLatency,
			},
			LogRetention:   s.LogRetention,
			IsolationLimit: cmp.Or(s.IsolationLimit, defaultIsolationLimit),
			Placement:      s.WeightStore.placementSettings(),
		},
		Hello: &wirepb.Hello{
			Host:        s.Host,
			Role:        plat.RoleEntry,
			Zone:        s.Zone,
			Incarnation: incarnation,
		},
		Log:    plat.NewHTTPLog(s.Log),
		Hosts:  plat.NewHTTPHosts(s.Hosts),
		TLS:    tlsConfig,
		Memory: memoryBytes(s.MemoryMB),
		Logger: newLogger(os.Stderr, s.Host),
	}, nil
}

// run runs the entry until it is shut down.
func (s *EntrySettings) run(cmd *cobra.Command) error {
	options, err := s.options()
	if err != nil {
		return err
	}
	callerListener, err := listen(cmd, "listen", s.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listen(cmd, "peers", s.Peers)
	if err != nil {
		return err
	}
	setMemoryLimit(options.Memory)
	server := entry.New(options)
	adminServer := admin.New(server.Status, server.Registry())
	return serve(cmd, server, fixedTimeout(s.StopLimit), sessionCloseDelay, func(ctx context.Context) error {
		return runWithAdmin(ctx, s.Admin, cmd, adminServer, func(ctx context.Context) error {
			return server.Run(ctx, callerListener, peerListener)
		})
	})
}

// check adds the errors in the settings.
func (s *EntrySettings) check(fieldErrs *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, fieldErrs)
	checkNotEmpty("zone", s.Zone, fieldErrs)
	checkAddress("listen", s.Listen, fieldErrs)
	checkAddress("peers", s.Peers, fieldErrs)
	checkAddress("admin", s.Admin, fieldErrs)
	checkURL("log", s.Log, fieldErrs)
	checkURL("hosts", s.Hosts, fieldErrs)
	for zone, latency := range s.ZoneLatency {
		if latency < 0 {
			fieldErrs.Add("zoneLatency."+zone, "is %v, must not be negative", latency)
		}
	}
	if s.StaticShare < 0 || s.StaticShare > 1 {
		fieldErrs.Add("staticShare", "is %v, must be between 0 and 1", s.StaticShare)
	}
	checkDuration("drainDelay", s.DrainDelay, fieldErrs)
	checkDuration("stopLimit", s.StopLimit, fieldErrs)
	checkMemory(s.MemoryMB, fieldErrs)
	if s.WeightStore.LoadsPerSecond < 0 || s.WeightStore.Loads < 0 || s.WeightStore.AdapterLoads < 0 {
		fieldErrs.Add("weightStore", "limits must not be negative")
	}
	if s.LogRetention < 0 {
		fieldErrs.Add("logRetention", "must not be negative")
	}
	if s.IsolationLimit != 0 && s.IsolationLimit < minIsolationLimit {
		fieldErrs.Add("isolationLimit", "must be at least %v", minIsolationLimit)
	}
	s.TLS.check(fieldErrs)
}

// WeightStoreLimits holds the limits of the weight store. A limit of 0 selects the
// default.
type WeightStoreLimits struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	Loads          int     `json:"loads"`
	AdapterLoads   int     `json:"adapterLoads"`
}

// placementSettings returns the planner settings with these limits applied.
func (w *WeightStoreLimits) placementSettings() place.Settings {
	s := place.DefaultSettings()
	s.LoadsPerSecond = cmp.Or(w.LoadsPerSecond, s.LoadsPerSecond)
	s.MaxLoads = cmp.Or(w.Loads, s.MaxLoads)
	s.MaxAdapterLoads = cmp.Or(w.AdapterLoads, s.MaxAdapterLoads)
	return s
}

// Default and minimum of the isolation limit, which bounds how long an entry that
// is partitioned from the log and the other entries may accept a revoked key.
const (
	defaultIsolationLimit = 15 * time.Second
	// minIsolationLimit leaves enough time for two long-poll reads from the log.
	minIsolationLimit = 2*plat.FollowWait + time.Second
)
