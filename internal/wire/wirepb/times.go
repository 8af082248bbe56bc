package wirepb

import "time"

// AgeMicroseconds returns the age of a point in time as messages hold it.
func AgeMicroseconds(now, at time.Time) uint64 { return uint64(max(now.Sub(at), 0).Microseconds()) }

// Microseconds returns a duration that a message holds.
func Microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
