// Package wirepb holds the generated messages between the system's processes.
package wirepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative core.proto share.proto fold.proto claim.proto place.proto gate.proto
