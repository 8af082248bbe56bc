// Package demo runs a small but complete fleet in a single process and
// demonstrates its features. The fleet consists of fakes of the platform's services
// and the endpoints, two agents and two entries.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

const (
	endpointSlots     = 16
	engineMemoryBytes = 80 << 30
	entryCount        = 2
	// zone is the availability zone of all hosts.
	zone = "mx-centro-a"
)

// NamedURL is a URL with the name under which demo --hold prints it.
type NamedURL struct {
	Name string
	URL  string
}

// Fleet is a fleet that runs in the current process.
type Fleet struct {
	// URLs are the URLs of all interfaces, EntryURLs those for callers, by entry.
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
	// errs are the errors of the tasks that have ended, guarded by mu.
	mu   sync.Mutex
	errs []error
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

// start starts the fakes, the agents and the entries, in this order, and publishes the
// configuration.
func (f *Fleet) start() error {
	parsed, err := config.Parse(demoConfig())
	if err != nil {
		return err
	}
	logAddress, err := f.serveHTTP("log URL", f.log.Handler())
	if err != nil {
		return err
	}
	hostsAddress, err := f.serveHTTP("hosts URL", f.hosts.Handler())
	if err != nil {
		return err
	}
	f.LogURL, f.hostsURL = urlOf(logAddress), urlOf(hostsAddress)
	f.engine = fakes.NewEngine(fakes.EngineSettings{
		MemoryBytes: engineMemoryBytes,
		Slots:       endpointSlots,
		ChecksFence: true,
		Residents:   residents(parsed),
		Logger:      f.logger,
	})
	engineAddress, err := f.serveHTTP("engine URL", f.engine.Handler())
	if err != nil {
		return err
	}
	serviceAddress, err := f.serveHTTP("service URL", f.service.Handler())
	if err != nil {
		return err
	}
	if err := f.startMembers(engineAddress, serviceAddress); err != nil {
		return err
	}
	return f.publish(config.Publish{Text: demoConfig()})
}

// startMembers starts an agent in front of each endpoint, and the entries.
func (f *Fleet) startMembers(engineAddress, serviceAddress netip.AddrPort) error {
	if err := f.startAgent("agent-lengua", "lengua", engineAddress, true); err != nil {
		return err
	}
	if err := f.startAgent("agent-pedidos", "pedidos", serviceAddress, false); err != nil {
		return err
	}
	for i := range entryCount {
		if err := f.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
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
