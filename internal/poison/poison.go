// Package poison finds the parts of prompts, and the requests, that crash the endpoints
// which answer them. It weighs the crashes and the answers that all entries have
// observed, so that the crash of an endpoint for another reason puts nothing under
// quarantine.
//
// Only crashes since the last answer to a part count, and of these the ones at moments at which
// few other endpoints crashed without it. A request that an endpoint had often as it crashed
// would have been there by chance as well, so that the crash weighs less for it. What weighs
// most explains its crashes, for which nothing else is suspect unless it weighs about as much.
// Suspects are confined to one endpoint or tried one at a time; more crashes put them under
// quarantine.
//
// Both errors remain. A sound request is refused for a time if it is at several crashes by
// chance and no endpoint lives long enough to prove it sound. A request that crashes endpoints
// is found late if it was answered before, or if it crashes them only sometimes: each answer
// clears it.
package poison

import "time"

// Run is one incarnation of an engine.
type Run struct {
	Engine      string
	Incarnation int64
}

// Crash is the unexpected end of an engine's run.
type Crash struct {
	Run
	At time.Time
	// Parts are those of the requests that the engine had begun to answer, in
	// ascending order. A fingerprint is in it as often as one entry has seen the request
	// there.
	Parts []Part
	// EndedAt is when the run was proved to be over, zero if it was only found not to
	// answer, as when one entry can't reach it.
	EndedAt time.Time
}

// Answer says that an engine has answered a request with a part.
type Answer struct {
	Part Part
	At   time.Time
}

// Quarantine keeps requests with a part from all engines until a point in time. After
// that the part is tried with one request at a time, and a further crash begins a
// longer quarantine.
type Quarantine struct {
	Part     Part
	Until    time.Time
	Duration time.Duration
}
