// Package demo runs a small but complete fleet in a single process and
// demonstrates its features. The fleet consists of fakes of the platform's services
// and the endpoints, two agents and two entries.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/entry"
	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

const (
	endpointSlots     = 16
	engineMemoryBytes = 80 << 30
	entryCount        = 2
)

// NamedURL is a URL with the name under which demo --hold prints it.
type NamedURL struct {
	Name string
	URL  string
}

// Fleet is a fleet that runs in the current process.
type Fleet struct {
	URLs      []NamedURL
	EntryURLs []string
	LogURL    string

	log      *fakes.Log
	hosts    *fakes.Hosts
	engine   *fakes.Engine
	service  *fakes.Service
	logger   zerolog.Logger
	hostsURL string

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// Start starts a fleet on loopback ports and publishes its configuration.
func Start(ctx context.Context, logger zerolog.Logger) (*Fleet, error) {
	f := &Fleet{
		log:     fakes.NewLog(0),
		hosts:   fakes.NewHosts(),
		service: fakes.NewService(),
		logger:  logger,
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// Stop stops the fleet and returns the errors of all its tasks.
func (f *Fleet) Stop() error {
	f.cancel()
	f.tasks.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}

func (f *Fleet) start() error {
	parsed, err := config.Parse(demoConfig())
	if err != nil {
		return err
	}
	if f.LogURL, err = f.serveHTTP("log URL", f.log.Handler()); err != nil {
		return err
	}
	if f.hostsURL, err = f.serveHTTP("hosts URL", f.hosts.Handler()); err != nil {
		return err
	}
	f.engine = fakes.NewEngine(fakes.EngineSettings{
		MemoryBytes: engineMemoryBytes,
		Slots:       endpointSlots,
		ChecksFence: true,
		Residents:   residents(parsed),
		Logger:      f.logger,
	})
	engineURL, err := f.serveHTTP("engine URL", f.engine.Handler())
	if err != nil {
		return err
	}
	serviceURL, err := f.serveHTTP("service URL", f.service.Handler())
	if err != nil {
		return err
	}
	if err := f.startAgent("agent-lengua", "lengua", engineURL, true); err != nil {
		return err
	}
	if err := f.startAgent("agent-pedidos", "pedidos", serviceURL, false); err != nil {
		return err
	}
	for i := range entryCount {
		if err := f.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	return f.publish(config.Publish{Text: demoConfig()})
}

// residents returns all models and adapters of a configuration.
func residents(parsed *config.Config) []plat.Resident {
	var all []plat.Resident
	for name, m := range parsed.Models {
		all = append(all, plat.Resident{
			Model:       name,
			Version:     m.Version,
			MemoryBytes: m.Versions[m.Version].MemoryBytes,
			Ready:       true,
		})
		for adapter, a := range m.Adapters {
			all = append(all, plat.Resident{
				Model:       name,
				Version:     m.Version,
				Adapter:     adapter,
				MemoryBytes: a.MemoryBytes,
				Ready:       true,
			})
		}
	}
	return all
}

// publish appends a publish record to the configuration stream.
func (f *Fleet) publish(p config.Publish) error {
	data, err := json.Marshal(config.Record{Publish: &p})
	if err != nil {
		return err
	}
	f.log.Append(plat.StreamConfig, data)
	return nil
}

// listen opens a listener on a loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	return listener, address, err
}

// runTask runs a task in the background until the fleet stops, and records its
// error.
func (f *Fleet) runTask(task func(context.Context) error) {
	f.tasks.Go(func() {
		err := task(f.ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errs = append(f.errs, err)
	})
}

// serveHTTP serves a fake on a loopback port and returns its URL.
func (f *Fleet) serveHTTP(name string, handler fasthttp.RequestHandler) (string, error) {
	listener, address, err := listen()
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{
		Handler: handler,
		Name:    "fake",
	}
	f.runTask(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		return server.Serve(listener)
	})
	url := "http://" + address.String()
	f.URLs = append(f.URLs, NamedURL{
		Name: name,
		URL:  url,
	})
	return url, nil
}

// startAgent starts an agent in front of an endpoint and adds it to the host
// registry.
func (f *Fleet) startAgent(name, service, endpointURL string, isModel bool) error {
	listener, address, err := listen()
	if err != nil {
		return err
	}
	endpointAddress, err := netip.ParseAddrPort(endpointURL[len("http://"):])
	if err != nil {
		return err
	}
	incarnation := rand.Uint64() | 1
	options := agent.Options{
		Core: agent.CoreSettings{
			Host:         name,
			Incarnation:  incarnation,
			PlainService: !isModel,
			Slots:        endpointSlots,
			Dedup: dedup.Settings{
				Self: dedup.Process{
					Host:        name,
					Incarnation: incarnation,
				},
				Service: service,
			},
		},
		Hello: &wirepb.Hello{
			Host:        name,
			Role:        plat.RoleAgent,
			Zone:        "mx-centro-a",
			Service:     service,
			Incarnation: incarnation,
		},
		Endpoint: endpointAddress,
		Log:      plat.NewHTTPLog(f.LogURL),
		Hosts:    plat.NewHTTPHosts(f.hostsURL),
		Logger:   f.logger,
	}
	if isModel {
		options.Engine = plat.NewHTTPEngine(endpointURL)
	}
	server := agent.New(options)
	f.runTask(func(ctx context.Context) error { return server.Run(ctx, listener) })
	f.hosts.Put(plat.Host{
		Name:    name,
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: service,
		Address: address,
		State:   plat.HostLive,
	})
	return nil
}

// startEntry starts an entry with its admin interface and adds it to the host
// registry.
func (f *Fleet) startEntry(name string) error {
	callerListener, callerAddress, err := listen()
	if err != nil {
		return err
	}
	peerListener, peerAddress, err := listen()
	if err != nil {
		return err
	}
	adminListener, adminAddress, err := listen()
	if err != nil {
		return err
	}
	incarnation := rand.Uint64() | 1
	server := entry.New(entry.Options{
		Core: entry.CoreSettings{
			Host:        name,
			Incarnation: incarnation,
			Seed:        rand.Uint64(),
			Zones:       route.ZoneLatencies{Self: "mx-centro-a"},
		},
		Hello: &wirepb.Hello{
			Host:        name,
			Role:        plat.RoleEntry,
			Zone:        "mx-centro-a",
			Incarnation: incarnation,
		},
		Log:    plat.NewHTTPLog(f.LogURL),
		Hosts:  plat.NewHTTPHosts(f.hostsURL),
		Logger: f.logger,
	})
	f.runTask(func(ctx context.Context) error { return server.Run(ctx, callerListener, peerListener) })
	f.runTask(func(ctx context.Context) error {
		return admin.New(server.Status, server.Registry()).Run(ctx, adminListener)
	})
	f.EntryURLs = append(f.EntryURLs, "http://"+callerAddress.String())
	f.URLs = append(f.URLs, NamedURL{
		Name: "entry URL",
		URL:  "http://" + callerAddress.String(),
	}, NamedURL{
		Name: "admin URL",
		URL:  "http://" + adminAddress.String(),
	})
	f.hosts.Put(plat.Host{
		Name:    name,
		Role:    plat.RoleEntry,
		Zone:    "mx-centro-a",
		Address: peerAddress,
		State:   plat.HostLive,
	})
	return nil
}
