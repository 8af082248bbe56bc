package cmds

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/entry"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/wire/wirepb"
)

// defaultZoneLatency is the one-way latency to zones that the settings don't list.
const defaultZoneLatency = time.Millisecond

// newEntryCommand returns the command that runs an entry.
func newEntryCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry, which accepts callers' requests and forwards them to agents",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s EntrySettings
			if err := readSettings(settingsFile, &s); err != nil {
				return err
			}
			return s.run(cmd)
		},
	}
	addSettingsFlag(cmd, &settingsFile)
	return cmd
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
		Logger: newLogger(os.Stderr, s.Host),
	}, nil
}

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
	server := entry.New(options)
	adminServer := admin.New(server.Status, server.Registry())
	return serve(cmd, server, s.StopLimit, sessionCloseDelay, func(ctx context.Context) error {
		return runWithAdmin(ctx, s.Admin, cmd, adminServer, func(ctx context.Context) error {
			return server.Run(ctx, callerListener, peerListener)
		})
	})
}

// newAgentCommand returns the command that runs an agent.
func newAgentCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent, the only path to the endpoint that it fronts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s AgentSettings
			if err := readSettings(settingsFile, &s); err != nil {
				return err
			}
			return s.run(cmd)
		},
	}
	addSettingsFlag(cmd, &settingsFile)
	return cmd
}

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
		Logger:   newLogger(os.Stderr, s.Host),
	}
	if s.Kind == endpointKindEngine {
		engine := plat.NewHTTPEngine("http://" + s.Endpoint.String())
		options.Engine = engine
		options.Cache = engine
	}
	return options, nil
}

func (s *AgentSettings) run(cmd *cobra.Command) error {
	options, err := s.options()
	if err != nil {
		return err
	}
	listener, err := listen(cmd, "listen", s.Listen)
	if err != nil {
		return err
	}
	server := agent.New(options)
	adminServer := admin.New(server.Status, server.Registry())
	return serve(cmd, server, s.StopLimit, sessionCloseDelay, func(ctx context.Context) error {
		return runWithAdmin(ctx, s.Admin, cmd, adminServer, func(ctx context.Context) error {
			return server.Run(ctx, listener)
		})
	})
}

// runWithAdmin runs a server together with its admin interface until the server
// ends.
func runWithAdmin(
	ctx context.Context, address netip.AddrPort, cmd *cobra.Command,
	adminServer *admin.Server, run func(context.Context) error,
) error {
	listener, err := listen(cmd, "admin", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	adminErr := make(chan error, 1)
	go func() { adminErr <- adminServer.Run(ctx, listener) }()
	err = run(ctx)
	cancel()
	return errors.Join(err, <-adminErr)
}

// newIncarnation returns a random number that identifies this run of a process. It
// is never 0, which means no incarnation.
func newIncarnation() uint64 { return rand.Uint64() | 1 }

func addSettingsFlag(cmd *cobra.Command, settingsFile *string) {
	cmd.Flags().StringVar(settingsFile, "settings", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings") // fails only if the flag is undefined
}
