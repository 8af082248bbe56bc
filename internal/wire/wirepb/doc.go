// Package wirepb contains the generated protobuf messages that the processes of
// the system exchange.
package wirepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative core.proto share.proto fold.proto claim.proto place.proto gate.proto
