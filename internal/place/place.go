// Package place decides which engine holds which model: a ledger of an engine's
// memory, the agreement between two holders before one of them unloads, and the
// planner that decides what each engine of a service ought to hold.
package place

import "dogwoodfold/internal/wire/wirepb"

// Copy names one set of weights: a version of a model, or an adapter on it.
type Copy struct {
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
}

// Base returns the model's own weights, which an adapter needs.
func (c Copy) Base() Copy {
	return Copy{
		Model:   c.Model,
		Version: c.Version,
	}
}

// ToWire returns the wire's form of a copy.
func (c Copy) ToWire() *wirepb.Weights {
	return &wirepb.Weights{
		Model:   c.Model,
		Version: c.Version,
		Adapter: c.Adapter,
	}
}

// FromWire returns the copy that a wire's form names.
func FromWire(w *wirepb.Weights) Copy {
	return Copy{
		Model:   w.GetModel(),
		Version: w.GetVersion(),
		Adapter: w.GetAdapter(),
	}
}
