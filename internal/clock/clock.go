// Package clock tells time for deadlines and leases: it counts the time that a
// host was suspended and ignores steps of the time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time since boot as points in time. The zero value is not
// usable; see New.
type Clock struct {
	// origin is the time of day at which the clock was made, start the time
	// since boot then.
	origin        time.Time
	startBootTime time.Duration
}

// New returns a clock that starts at the present time of day.
func New() *Clock {
	return &Clock{
		origin:        time.Now().Round(0),
		startBootTime: timeSinceBoot(),
	}
}

// Now returns the present time. It never goes back, and it goes on while the
// host is suspended.
func (c *Clock) Now() time.Time { return c.origin.Add(timeSinceBoot() - c.startBootTime) }

// timeSinceBoot returns the time since boot with suspensions.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot time: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
