package demo

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/entry"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/wire/wirepb"
)

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

// urlOf returns the URL of an HTTP server.
func urlOf(address netip.AddrPort) string { return "http://" + address.String() }

// addURL adds a URL to those that demo --hold prints.
func (f *Fleet) addURL(name string, address netip.AddrPort) {
	f.URLs = append(f.URLs, NamedURL{
		Name: name,
		URL:  urlOf(address),
	})
}

// serveHTTP serves a fake on a loopback port and returns its address. Its URL is added
// under the given name.
func (f *Fleet) serveHTTP(name string, handler fasthttp.RequestHandler) (netip.AddrPort, error) {
	listener, address, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &fasthttp.Server{
		Handler: handler,
		Name:    "fake",
	}
	f.runTask(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // Serve returns once it is closed
		defer stop()
		return server.Serve(listener)
	})
	f.addURL(name, address)
	return address, nil
}

// startAgent starts an agent in front of an endpoint and adds it to the host
// registry.
func (f *Fleet) startAgent(name, service string, endpoint netip.AddrPort, isModel bool) error {
	listener, address, err := listen()
	if err != nil {
		return err
	}
	server := agent.New(f.agentOptions(name, service, endpoint, isModel))
	f.runTask(func(ctx context.Context) error { return server.Run(ctx, listener) })
	f.hosts.Put(plat.Host{
		Name:    name,
		Role:    plat.RoleAgent,
		Zone:    zone,
		Service: service,
		Address: address,
		State:   plat.HostLive,
	})
	return nil
}

// agentOptions returns the options of an agent in front of an endpoint.
func (f *Fleet) agentOptions(name, service string, endpoint netip.AddrPort, isModel bool) agent.Options {
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
			Zone:        zone,
			Service:     service,
			Incarnation: incarnation,
		},
		Endpoint: endpoint,
		Log:      plat.NewHTTPLog(f.LogURL),
		Hosts:    plat.NewHTTPHosts(f.hostsURL),
		Logger:   f.logger,
	}
	if isModel {
		options.Engine = plat.NewHTTPEngine(urlOf(endpoint))
	}
	return options
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
	server := entry.New(f.entryOptions(name))
	f.runTask(func(ctx context.Context) error { return server.Run(ctx, callerListener, peerListener) })
	f.runTask(func(ctx context.Context) error {
		return admin.New(server.Status, server.Registry()).Run(ctx, adminListener)
	})
	f.EntryURLs = append(f.EntryURLs, urlOf(callerAddress))
	f.addURL("entry URL", callerAddress)
	f.addURL("admin URL", adminAddress)
	f.hosts.Put(plat.Host{
		Name:    name,
		Role:    plat.RoleEntry,
		Zone:    zone,
		Address: peerAddress,
		State:   plat.HostLive,
	})
	return nil
}

// entryOptions returns the options of an entry.
func (f *Fleet) entryOptions(name string) entry.Options {
	incarnation := rand.Uint64() | 1
	return entry.Options{
		Core: entry.CoreSettings{
			Host:        name,
			Incarnation: incarnation,
			Seed:        rand.Uint64(),
			Zones:       route.ZoneLatencies{Self: zone},
		},
		Hello: &wirepb.Hello{
			Host:        name,
			Role:        plat.RoleEntry,
			Zone:        zone,
			Incarnation: incarnation,
		},
		Log:    plat.NewHTTPLog(f.LogURL),
		Hosts:  plat.NewHTTPHosts(f.hostsURL),
		Logger: f.logger,
	}
}
