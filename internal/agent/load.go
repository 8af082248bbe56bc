package agent

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// broadcastLoad sends a load report to all entries.
func (c *Core) broadcastLoad(now time.Time) []Effect {
	c.loadSentAt = now
	return []Effect{Broadcast{Message: c.loadMessage()}}
}

// loadMessage returns a message with the current load report.
func (c *Core) loadMessage() *wirepb.Envelope {
	c.loadSequence++
	report := &wirepb.LoadReport{
		Sequence:               c.loadSequence,
		Running:                uint32(len(c.running)),
		Queued:                 uint32(c.queue.Len()),
		QueuedTokens:           uint64(c.queue.TotalCost()),
		Slots:                  uint32(c.slots),
		Leaving:                c.leaving,
		Models:                 heldModels(c.servingResidents()),
		PrefillTokensPerSecond: c.estimator.prefillRate(c.report.PrefillPerSecond),
		DecodeTokensPerSecond:  c.report.DecodePerSecond,
		RunningTokens:          uint64(c.estimator.runningTokens),
		NsPerToken:             uint64(c.estimator.timePerToken),
		PrefillTokens:          uint64(c.estimator.pendingPrefill),
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: report}}
}

// heldModels returns the models that are ready, by version, each with its
// adapters that are ready.
func heldModels(residents []plat.Resident) []*wirepb.HeldModel {
	type modelVersion struct{ model, version string }
	byVersion := make(map[modelVersion]*wirepb.HeldModel)
	var models []*wirepb.HeldModel
	for _, r := range residents {
		if r.Ready && r.Adapter == "" {
			model := &wirepb.HeldModel{
				Model:   r.Model,
				Version: r.Version,
			}
			byVersion[modelVersion{r.Model, r.Version}] = model
			models = append(models, model)
		}
	}
	for _, r := range residents {
		if model, ok := byVersion[modelVersion{r.Model, r.Version}]; ok && r.Ready && r.Adapter != "" {
			model.Adapters = append(model.Adapters, r.Adapter)
		}
	}
	return models
}
