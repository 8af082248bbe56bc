package cmds

import (
	"cmp"
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/strict"
	"dogwoodfold/internal/wire/wirepb"
)

// newAgentCommand returns the command that runs an agent.
func newAgentCommand() *cobra.Command {
	return newRoleCommand("agent", "Run an agent, the only path to the endpoint that it fronts", &AgentSettings{})
}

// AgentSettings is the content of an agent's settings file.
type AgentSettings struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Kind is "engine" or "service".
	Kind   string         `json:"kind"`
	Listen netip.AddrPort `json:"listen"`
	Admin  netip.AddrPort `json:"admin"`
	// Endpoint is the address of the endpoint that the agent fronts.
	Endpoint netip.AddrPort `json:"endpoint"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// Slots is the maximum number of concurrent calls at the endpoint.
	Slots int `json:"slots"`
	// Rates is the rate limiting mode, "shares" (the default) or "static". With
	// "shares" the agent admits calls only from the entries listed in the
	// coordinator's view. With "static" it trusts every entry to stay within
	// its staticShare.
	Rates string `json:"rates"`
	// ClaimWindow is how long an idempotency key remains valid. It defaults to
	// one hour. The log must retain records for longer than that.
	ClaimWindow time.Duration `json:"claimWindow"`
	// KeepOutcomes is how long responses are kept for replay to repeated
	// requests. It defaults to 10 minutes.
	KeepOutcomes time.Duration `json:"keepOutcomes"`
	// ClaimWait is the timeout for waiting on the log. It defaults to 2 seconds.
	ClaimWait time.Duration `json:"claimWait"`
	// StopLimit is the timeout of a graceful shutdown. It defaults to 10 minutes.
	StopLimit time.Duration `json:"stopLimit"`
	// MaxOrderDelay is an upper bound on the time between sending an order and
	// its last effect at an engine that ignores fencing numbers. It defaults to
	// 10 seconds.
	MaxOrderDelay time.Duration `json:"maxOrderDelay"`
	// MemoryMB is the memory in MB that the process may use. It defaults to 256.
	MemoryMB int      `json:"memoryMb"`
	TLS      TLSFiles `json:"tls"`
}

// Kinds of endpoints.
const (
	endpointKindEngine  = "engine"
	endpointKindService = "service"
)

// Modes in which entries enforce the customers' rate limits.
const (
	rateModeShares = "shares"
	rateModeStatic = "static"
)

// minMaxOrderDelay leaves enough time for the request that carries the order.
const minMaxOrderDelay = 3 * time.Second

// options builds the options of the agent from its settings.
func (s *AgentSettings) options() (agent.Options, error) {
	tlsConfig, err := s.TLS.tlsConfig()
	if err != nil {
		return agent.Options{}, err
	}
	incarnation := newIncarnation()
	options := agent.Options{
		Core: agent.CoreSettings{
			Host:          s.Host,
			Incarnation:   incarnation,
			PlainService:  s.Kind == endpointKindService,
			Slots:         s.Slots,
			MaxOrderDelay: s.MaxOrderDelay,
			FixedShares:   s.Rates == rateModeStatic,
			Dedup: dedup.Settings{
				Self: dedup.Process{
					Host:        s.Host,
					Incarnation: incarnation,
				},
				Service:          s.Service,
				ClaimWindow:      s.ClaimWindow,
				OutcomeRetention: s.KeepOutcomes,
				ClaimWait:        s.ClaimWait,
			},
		},
		Hello: &wirepb.Hello{
			Host:        s.Host,
			Role:        plat.RoleAgent,
			Zone:        s.Zone,
			Service:     s.Service,
			Incarnation: incarnation,
		},
		Endpoint: s.Endpoint,
		Log:      plat.NewHTTPLog(s.Log),
		Hosts:    plat.NewHTTPHosts(s.Hosts),
		TLS:      tlsConfig,
		Memory:   memoryBytes(s.MemoryMB),
		Logger:   newLogger(os.Stderr, s.Host),
	}
	if s.Kind == endpointKindEngine {
		engine := plat.NewHTTPEngine("http://" + s.Endpoint.String())
		options.Engine = engine
		options.Cache = engine
	}
	return options, nil
}

// run runs the agent until it is shut down.
func (s *AgentSettings) run(cmd *cobra.Command) error {
	options, err := s.options()
	if err != nil {
		return err
	}
	listener, err := listen(cmd, "listen", s.Listen)
	if err != nil {
		return err
	}
	setMemoryLimit(options.Memory)
	server := agent.New(options)
	adminServer := admin.New(server.Status, server.Registry())
	return serve(cmd, server, fixedTimeout(s.StopLimit), sessionCloseDelay, func(ctx context.Context) error {
		return runWithAdmin(ctx, s.Admin, cmd, adminServer, func(ctx context.Context) error {
			return server.Run(ctx, listener)
		})
	})
}

// check adds the errors in the settings and sets defaults.
func (s *AgentSettings) check(fieldErrs *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, fieldErrs)
	checkNotEmpty("zone", s.Zone, fieldErrs)
	checkNotEmpty("service", s.Service, fieldErrs)
	checkAddress("listen", s.Listen, fieldErrs)
	checkAddress("admin", s.Admin, fieldErrs)
	checkAddress("endpoint", s.Endpoint, fieldErrs)
	checkURL("log", s.Log, fieldErrs)
	checkURL("hosts", s.Hosts, fieldErrs)
	if s.Kind != endpointKindEngine && s.Kind != endpointKindService {
		fieldErrs.Add("kind", "is %q, must be %q or %q", s.Kind, endpointKindEngine, endpointKindService)
	}
	if s.Rates != "" && s.Rates != rateModeShares && s.Rates != rateModeStatic {
		fieldErrs.Add("rates", "is %q, must be %q or %q", s.Rates, rateModeShares, rateModeStatic)
	}
	if s.Slots < 1 {
		fieldErrs.Add("slots", "must be at least 1")
	}
	checkDuration("claimWindow", s.ClaimWindow, fieldErrs)
	checkDuration("keepOutcomes", s.KeepOutcomes, fieldErrs)
	checkDuration("claimWait", s.ClaimWait, fieldErrs)
	checkDuration("stopLimit", s.StopLimit, fieldErrs)
	checkMemory(s.MemoryMB, fieldErrs)
	if s.KeepOutcomes > cmp.Or(s.ClaimWindow, dedup.DefaultClaimWindow) {
		fieldErrs.Add("keepOutcomes", "must not be longer than claimWindow")
	}
	if s.MaxOrderDelay == 0 {
		s.MaxOrderDelay = place.DefaultMaxOrderDelay
	}
	if s.MaxOrderDelay < minMaxOrderDelay {
		fieldErrs.Add("maxOrderDelay", "must be at least %v", minMaxOrderDelay)
	}
	s.TLS.check(fieldErrs)
}
