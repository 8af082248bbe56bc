// Package clock provides the time source for deadlines and leases. It is based on
// CLOCK_BOOTTIME, so that it includes the time for which a host was suspended and
// is not affected by steps of the wall clock. It also provides waits that end with a
// context.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock converts the time since boot to a time.Time. Use New to create one; the
// zero value is not usable.
type Clock struct {
	// origin is the wall clock time at which the Clock was created, and
	// startBootTime the time since boot at that moment.
	origin        time.Time
	startBootTime time.Duration
}

// New returns a clock that starts at the current wall clock time.
func New() *Clock {
	return &Clock{
		origin:        time.Now().Round(0),
		startBootTime: timeSinceBoot(),
	}
}

// Now returns the current time. It never goes backward, and it advances while the
// host is suspended.
func (c *Clock) Now() time.Time { return c.origin.Add(timeSinceBoot() - c.startBootTime) }

// timeSinceBoot returns the time since boot, including time spent suspended.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
