package lease

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Member is an entry that the leader counts as part of the fleet, with its standing
// share of every customer's rate.
type Member struct {
	Host  string  `json:"host"`
	Share float64 `json:"share"`
}

// Record starts or renews a term of a leader.
type Record struct {
	Host string `json:"host"`
	// Incarnation identifies a run of the holder's process, Renewal numbers the
	// records of that run.
	Incarnation uint64         `json:"incarnation"`
	Renewal     uint64         `json:"renewal"`
	PeerAddr    netip.AddrPort `json:"peers"`
	// Era is the era of the log for which the record was written.
	Era int64 `json:"era,omitempty"`
	// Term is the fencing token of the term. It grows with the era of the log and
	// the offset of the first record of the term.
	Term int64 `json:"term"`
	// DurationMs is how long the record is valid from when it was sent, in milliseconds.
	// Earlier releases don't write it; their records are valid for the order time and the
	// quiet period together.
	DurationMs int64 `json:"durationMs,omitempty"`
	// QuietMs is how long the holder must still issue no orders, in milliseconds, because
	// of those of an earlier holder. It also binds later processes on its host.
	QuietMs int64 `json:"quietMs,omitempty"`
	// Released is true in the last record of a holder that shuts down.
	Released bool     `json:"released,omitempty"`
	Members  []Member `json:"members"`
	// Quarantine holds the parts of prompts that are kept from engines, so that it
	// outlives all entries.
	Quarantine []QuarantinedPart `json:"quarantine,omitempty"`
	// Evidence is what is known of parts that are not under quarantine yet, so that it
	// outlives all entries too. Earlier releases neither write nor read it.
	Evidence CrashEvidence `json:"evidence,omitzero"`
	// Versions are the software versions at which streams may have begun, so that a process
	// that starts knows of those that have left.
	Versions []ServiceVersion `json:"versions,omitempty"`
	// Streams are the streams that began lately, while several versions serve, so that they
	// can go on at their versions after the end of all entries. Earlier releases neither
	// write nor read them.
	Streams []BegunStreams `json:"streams,omitempty"`
}

// BegunStreams are streams that engines of a software version have begun.
type BegunStreams struct {
	Version string     `json:"version"`
	Keys    StreamKeys `json:"keys"`
}

// StreamKeys are hashes of the IDs of streams. Their text form takes about eleven bytes
// each.
type StreamKeys []uint64

// streamKeyBytes is the size of a key before it is encoded as text.
const streamKeyBytes = 8

// MarshalText implements encoding.TextMarshaler.
func (k StreamKeys) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, streamKeyBytes*len(k))
	for _, key := range k {
		raw = binary.BigEndian.AppendUint64(raw, key)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *StreamKeys) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("keys of streams: %w", err)
	}
	if len(raw)%streamKeyBytes != 0 {
		return fmt.Errorf("keys of streams: %d bytes, not a multiple of %d", len(raw), streamKeyBytes)
	}
	*k = make(StreamKeys, 0, len(raw)/streamKeyBytes)
	for ; len(raw) > 0; raw = raw[streamKeyBytes:] {
		*k = append(*k, binary.BigEndian.Uint64(raw))
	}
	return nil
}

// ServiceVersion is a software version of a service's engines.
type ServiceVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// AgeMs is how long ago the last engine of the version left when the record was
	// written, in milliseconds, 0 while one is registered.
	AgeMs int64 `json:"ageMs,omitempty"`
}

// QuarantinedPart is a part of prompts that is kept from engines.
type QuarantinedPart struct {
	Part uint64 `json:"part,string"`
	// RemainingMs is the time to the end of the quarantine in milliseconds when the
	// record was written, negative after it; DurationMs is that of the whole
	// quarantine.
	RemainingMs int64 `json:"remainingMs"`
	DurationMs  int64 `json:"durationMs"`
}

// CrashEvidence holds crashes of endpoints, with the parts that may have caused them, and
// the newest answers to requests with such parts.
type CrashEvidence struct {
	Crashes []RecordedCrash  `json:"crashes,omitempty"`
	Answers []RecordedAnswer `json:"answers,omitempty"`
}

// RecordedCrash is the crash of one incarnation of an endpoint.
type RecordedCrash struct {
	Endpoint    string `json:"endpoint"`
	Incarnation int64  `json:"incarnation"`
	// AgeMs is how long ago it was when the record was written, in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Parts may be empty: the crash shows that others at its moment may have another
	// cause than their parts.
	Parts []uint64 `json:"parts,omitempty"`
}

// RecordedAnswer is an answer to a request with a part.
type RecordedAnswer struct {
	Part uint64 `json:"part"`
	// AgeMs is how long ago it was when the record was written, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}
