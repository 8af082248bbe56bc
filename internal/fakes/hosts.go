package fakes

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
)

// Hosts is a fake of the platform's host list. PUT /hosts adds or replaces a
// host, and DELETE /hosts?name=N removes one.
type Hosts struct {
	fakeServer
	stateMu sync.Mutex
	hosts   map[string]plat.Host
}

// NewHosts returns an empty host list.
func NewHosts() *Hosts { return &Hosts{hosts: make(map[string]plat.Host)} }

// Handler returns the HTTP handler of the host list.
func (h *Hosts) Handler() fasthttp.RequestHandler { return h.withFaults(h.handle) }

// handle serves the host list.
func (h *Hosts) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/hosts" {
		ctx.NotFound()
		return
	}
	switch {
	case ctx.IsPut():
		var host plat.Host
		if err := json.Unmarshal(ctx.PostBody(), &host); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		h.Put(host)
	case ctx.IsDelete():
		h.Remove(string(ctx.QueryArgs().Peek("name")))
	default:
		writeJSON(ctx, h.list())
	}
}

// Put adds or replaces a host.
func (h *Hosts) Put(host plat.Host) {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	h.hosts[host.Name] = host
}

// Remove removes a host from the list.
func (h *Hosts) Remove(name string) {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	delete(h.hosts, name)
}

// list returns the hosts, sorted by name.
func (h *Hosts) list() []plat.Host {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	hosts := make([]plat.Host, 0, len(h.hosts))
	for _, name := range slices.Sorted(maps.Keys(h.hosts)) {
		hosts = append(hosts, h.hosts[name])
	}
	return hosts
}
