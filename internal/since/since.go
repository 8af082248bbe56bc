// Package since lists what has changed since a revision, without a look at what has
// not.
package since

import "container/list"

// Log records changes of items that are identified by keys. Each change has a revision
// number, which counts up from 1.
type Log[K comparable] struct {
	revision uint64
	// entries holds each key once, in the order of its last change.
	entries *list.List
	byKey   map[K]*list.Element
}

type entry[K comparable] struct {
	key      K
	revision uint64
}

// New returns a log without changes.
func New[K comparable]() *Log[K] {
	return &Log[K]{
		entries: list.New(),
		byKey:   make(map[K]*list.Element),
	}
}

// Record records a change of an item.
func (l *Log[K]) Record(key K) {
	l.revision++
	change := entry[K]{
		key:      key,
		revision: l.revision,
	}
	if e := l.byKey[key]; e != nil {
		e.Value = change
		l.entries.MoveToBack(e)
		return
	}
	l.byKey[key] = l.entries.PushBack(change)
}

// Forget removes an item from the log.
func (l *Log[K]) Forget(key K) {
	if e := l.byKey[key]; e != nil {
		l.entries.Remove(e)
		delete(l.byKey, key)
	}
}

// Revision returns the revision of the last change, 0 if there was none.
func (l *Log[K]) Revision() uint64 { return l.revision }

// After returns the keys of the items whose last change is later than a revision, the
// newest change first.
func (l *Log[K]) After(revision uint64) []K {
	var keys []K
	for e := l.entries.Back(); e != nil; e = e.Prev() {
		change := e.Value.(entry[K])
		if change.revision <= revision {
			break
		}
		keys = append(keys, change.key)
	}
	return keys
}
