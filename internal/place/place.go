// Package place decides which engine holds which model weights. It contains the
// ledger of an engine's memory, the protocol by which an agent has another one
// retain its replica before it unloads its own, and the planner that decides
// what each engine of a service should hold.
package place

import (
	"cmp"
	"strings"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Artifact identifies the weights of a version of a model, or an adapter for
// it.
type Artifact struct {
	Model   string
	Version string
	// Adapter is empty for the weights of the model.
	Adapter string
}

// Base returns the weights of the artifact's model, which an adapter requires.
func (a Artifact) Base() Artifact {
	return Artifact{
		Model:   a.Model,
		Version: a.Version,
	}
}

// ToWire returns the protobuf form of the artifact.
func (a Artifact) ToWire() *wirepb.Weights {
	return &wirepb.Weights{
		Model:   a.Model,
		Version: a.Version,
		Adapter: a.Adapter,
	}
}

// FromWire returns the artifact that the protobuf message identifies.
func FromWire(w *wirepb.Weights) Artifact {
	return Artifact{
		Model:   w.GetModel(),
		Version: w.GetVersion(),
		Adapter: w.GetAdapter(),
	}
}

// orderArtifact returns the artifact that an order loads or unloads.
func orderArtifact(o plat.Order) Artifact {
	return Artifact{
		Model:   o.Model,
		Version: o.Version,
		Adapter: o.Adapter,
	}
}

// residentArtifact returns the artifact that a resident is a replica of.
func residentArtifact(r plat.Resident) Artifact {
	return Artifact{
		Model:   r.Model,
		Version: r.Version,
		Adapter: r.Adapter,
	}
}

// compareArtifacts orders artifacts by model, version and adapter.
func compareArtifacts(a, b Artifact) int {
	return cmp.Or(
		strings.Compare(a.Model, b.Model),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Adapter, b.Adapter),
	)
}
