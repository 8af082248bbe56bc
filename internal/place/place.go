// Package place decides which engine holds which model: a ledger of an engine's
// memory, the agreement between two holders before one of them unloads, and the
// planner that decides what each engine of a service ought to hold.
package place

import "dogwoodfold/internal/wire/wirepb"

// Artifact names one set of weights: a version of a model, or an adapter on it.
type Artifact struct {
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
}

// Base returns the model's own weights, which an adapter needs.
func (a Artifact) Base() Artifact {
	return Artifact{
		Model:   a.Model,
		Version: a.Version,
	}
}

// ToWire returns the wire's form of a copy.
func (a Artifact) ToWire() *wirepb.Weights {
	return &wirepb.Weights{
		Model:   a.Model,
		Version: a.Version,
		Adapter: a.Adapter,
	}
}

// FromWire returns the copy that a wire's form names.
func FromWire(w *wirepb.Weights) Artifact {
	return Artifact{
		Model:   w.GetModel(),
		Version: w.GetVersion(),
		Adapter: w.GetAdapter(),
	}
}
