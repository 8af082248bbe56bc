package agent

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// tell sends the load to all entries.
func (c *Core) tell(now time.Time) []Effect {
	c.toldAt = now
	return []Effect{Broadcast{Message: c.load()}}
}

// load returns the load report of this moment.
func (c *Core) load() *wirepb.Envelope {
	c.sequence++
	report := &wirepb.LoadReport{
		Sequence:               c.sequence,
		Running:                uint32(len(c.running)),
		Queued:                 uint32(c.waiting.Len()),
		QueuedTokens:           uint64(c.waiting.TotalCost()),
		Slots:                  uint32(c.slots),
		Leaving:                c.leaving,
		Models:                 held(c.serving()),
		PrefillTokensPerSecond: c.pace.prefillRate(c.report.PrefillPerSecond),
		DecodeTokensPerSecond:  c.report.DecodePerSecond,
		RunningTokens:          uint64(c.pace.cost),
		NsPerToken:             uint64(c.pace.perToken),
		PrefillTokens:          uint64(c.pace.prefilling),
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: report}}
}

// held groups an engine's residents by model and version.
func held(residents []plat.Resident) []*wirepb.HeldModel {
	type version struct{ model, version string }
	groups := make(map[version]*wirepb.HeldModel)
	var models []*wirepb.HeldModel
	for _, r := range residents {
		if r.Ready && r.Adapter == "" {
			m := &wirepb.HeldModel{
				Model:   r.Model,
				Version: r.Version,
			}
			groups[version{r.Model, r.Version}] = m
			models = append(models, m)
		}
	}
	for _, r := range residents {
		if m, ok := groups[version{r.Model, r.Version}]; ok && r.Ready && r.Adapter != "" {
			m.Adapters = append(m.Adapters, r.Adapter)
		}
	}
	return models
}
