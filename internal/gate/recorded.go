package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
)

const (
	// maxRecordedStreams is the number of the newest streams that a record of the lease
	// names, so that it stays well below the limit of the store.
	maxRecordedStreams = 8192
	// streamRecordInterval is the time between two records of the lease while several
	// versions serve and streams begin.
	streamRecordInterval = 200 * time.Millisecond
)

// lastRecord is what is known of the record of the lease that this entry sent last.
type lastRecord struct {
	sentAt time.Time
	// appended is true once the log has acknowledged it.
	appended bool
	// begun is the number of beginnings of streams that it could name.
	begun uint64
}

// recordStreams adds to a record of the lease what entries that start later must know of the
// streams that clients may take up then.
func (c *Core) recordStreams(now time.Time, record *lease.Record) {
	record.Versions = c.recordedVersions(now)
	c.lastRecord = lastRecord{
		sentAt: now,
		begun:  c.streams.begun.count,
	}
	if c.streamVersionsDiffer(now) {
		record.Streams = c.streams.recorded(now)
	}
}

// streamVersionsDiffer reports whether the engines of any service have had different software
// versions within streamMemory. An entry that has no configuration yet takes each service for
// one with engines.
func (c *Core) streamVersionsDiffer(now time.Time) bool {
	registered := c.registeredVersions()
	for service, versions := range registered {
		if len(versions) > 1 && c.mayHaveEngines(service) {
			return true
		}
	}
	for service, departed := range c.departedVersions {
		count := len(registered[service])
		for version, at := range departed {
			if !registered[service][version] && now.Sub(at) < streamMemory {
				count++
			}
		}
		if count > 1 && c.mayHaveEngines(service) {
			return true
		}
	}
	return false
}

func (c *Core) mayHaveEngines(service string) bool {
	if c.config == nil {
		return true
	}
	spec := c.config.Services[service]
	return spec != nil && spec.Engine != nil
}

// hastenRecord makes a record of the lease due if streams have begun since the last one and
// several versions serve: they are lost with the entries until a record names them.
func (c *Core) hastenRecord(now time.Time) {
	last := &c.lastRecord
	if !last.appended || c.streams.begun.count == last.begun || now.Sub(last.sentAt) < streamRecordInterval || !c.isLeader(now) {
		return
	}
	if c.streamVersionsDiffer(now) {
		c.lease.RetryAfter(now, 0)
	}
}

// recorded returns the streams for a record of the lease, the newest first. One that was only
// assigned is not among them: it may begin at another version.
func (t *streamTable) recorded(now time.Time) []lease.BegunStreams {
	begun := t.begun.starts[max(len(t.begun.starts)-maxRecordedStreams, 0):]
	keys := make(map[string]lease.StreamKeys)
	for _, start := range slices.Backward(begun) {
		if now.Sub(start.at) <= streamMemory {
			keys[start.version] = append(keys[start.version], uint64(start.key))
		}
	}
	out := make([]lease.BegunStreams, 0, len(keys))
	for _, version := range slices.Sorted(maps.Keys(keys)) {
		out = append(out, lease.BegunStreams{
			Version: version,
			Keys:    keys[version],
		})
	}
	return out
}

// applyRecordedStreams remembers the streams that a record of the lease names. What this entry
// knows already is as new as the record or newer.
func (c *Core) applyRecordedStreams(now time.Time, recorded []lease.BegunStreams) {
	for _, begun := range recorded {
		for _, key := range begun.Keys {
			if known, isKnown := c.streams.versions[streamKey(key)]; !isKnown || known.assigned {
				c.streams.record(now, streamKey(key), begun.Version)
			}
		}
	}
}
