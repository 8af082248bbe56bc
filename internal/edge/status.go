package edge

import (
	"context"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/loop"
	"dogwoodfold/platform"
)

// RoleGateway is the role in the status of an entry that calls endpoints directly.
const RoleGateway = "gateway"

// unknownAge is the age of what an entry doesn't know, in milliseconds.
const unknownAge = -1

// Status is what an entry believes of itself and of the fleet, for operators. Ages are in
// milliseconds; those of unknown beliefs are -1.
type Status struct {
	Role     string `json:"role"`
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	// Leads is true while the entry holds the lease. Leader is the host that it follows,
	// empty if it follows none, and Connected whether it has a session to that one.
	Leads     bool   `json:"leads"`
	Leader    string `json:"leader"`
	Connected bool   `json:"connected"`
	// LeaseAgeMs counts from the sending of the newest known record of the lease or, if
	// that isn't known, from its first read.
	LeaseAgeMs int64 `json:"leaseAgeMs"`
	// Members is the number of entries, 0 if it isn't known, and Share the entry's standing
	// share of every customer's rate.
	Members       int                `json:"members"`
	Share         float64            `json:"share"`
	ConfigVersion int64              `json:"configVersion"`
	ConfigAgeMs   int64              `json:"configAgeMs"`
	RegistryAgeMs int64              `json:"registryAgeMs"`
	Settings      SettingsStatus     `json:"settings"`
	Endpoints     []EndpointStatus   `json:"endpoints"`
	Quarantines   []QuarantineStatus `json:"quarantines"`
}

// SettingsStatus tells which settings are in force.
type SettingsStatus struct {
	// File is the path of the settings file and Since the time of the start or of the last
	// SIGHUP at which it could be read.
	File  string    `json:"file"`
	Since time.Time `json:"since"`
}

// EndpointStatus is what an entry believes of an endpoint.
type EndpointStatus struct {
	ID              string             `json:"id"`
	Service         string             `json:"service"`
	Zone            string             `json:"zone"`
	SoftwareVersion string             `json:"softwareVersion"`
	State           gate.EndpointState `json:"state"`
	// Running counts the requests of all entries, or only those of this one if LoadAgeMs
	// is -1.
	Running   int   `json:"running"`
	Slots     int   `json:"slots"`
	LoadAgeMs int64 `json:"loadAgeMs"`
	// LimitPerSecond is the limit that the endpoint has named, 0 if there is none.
	LimitPerSecond float64 `json:"limitPerSecond"`
	// Models are those that the leader has named, or the registry if ModelsAgeMs is -1.
	Models      []string `json:"models"`
	ModelsAgeMs int64    `json:"modelsAgeMs"`
}

// QuarantineStatus is a part of prompts, or the fingerprint of a request, that is kept from
// endpoints.
type QuarantineStatus struct {
	Part        string `json:"part"`
	RemainingMs int64  `json:"remainingMs"`
	DurationMs  int64  `json:"durationMs"`
}

// status returns the status of the entry.
func (s *Server) status(ctx context.Context) (any, error) {
	beliefs, err := loop.Ask(ctx, s.loop, func(reply chan<- gate.Beliefs) gate.Event {
		return gate.BeliefsRequested{Reply: reply}
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	settings := s.settingsStatus
	s.mu.Unlock()
	return newStatus(beliefs, settings), nil
}

// newSettingsStatus returns the status of settings that come into force at now.
func newSettingsStatus(now time.Time, settings *platform.Settings) SettingsStatus {
	return SettingsStatus{
		File:  settings.Path,
		Since: now,
	}
}

// newStatus returns the status of an entry with the given beliefs and settings.
func newStatus(b gate.Beliefs, settings SettingsStatus) Status {
	status := Status{
		Role:          RoleGateway,
		Host:          b.Host,
		Zone:          b.Zone,
		Ready:         b.Status.Ready,
		Stopping:      b.Status.Stopping,
		Running:       b.Status.Running,
		Waiting:       b.Status.Waiting,
		Leads:         b.Status.IsLeader,
		Leader:        b.Status.Leader,
		Connected:     b.Connected,
		LeaseAgeMs:    ageMs(b.Now, b.LeaseAt),
		Members:       b.Members,
		Share:         b.Share,
		ConfigVersion: b.Status.ConfigVersion,
		ConfigAgeMs:   ageMs(b.Now, b.ConfigAt),
		RegistryAgeMs: ageMs(b.Now, b.RegistryAt),
		Settings:      settings,
		Endpoints:     make([]EndpointStatus, 0, len(b.Endpoints)),
		Quarantines:   make([]QuarantineStatus, 0, len(b.Quarantines)),
	}
	for _, ep := range b.Endpoints {
		status.Endpoints = append(status.Endpoints, newEndpointStatus(b.Now, ep))
	}
	for _, q := range b.Quarantines {
		status.Quarantines = append(status.Quarantines, QuarantineStatus{
			Part:        q.Part.String(),
			RemainingMs: q.Until.Sub(b.Now).Milliseconds(),
			DurationMs:  q.Duration.Milliseconds(),
		})
	}
	return status
}

// newEndpointStatus returns the status of an endpoint with the given beliefs.
func newEndpointStatus(now time.Time, b gate.EndpointBelief) EndpointStatus {
	return EndpointStatus{
		ID:              b.ID,
		Service:         b.Service,
		Zone:            b.Zone,
		SoftwareVersion: b.SoftwareVersion,
		State:           b.State,
		Running:         b.Running,
		Slots:           b.Slots,
		LoadAgeMs:       ageMs(now, b.LoadAt),
		LimitPerSecond:  b.Limit,
		Models:          b.Models,
		ModelsAgeMs:     ageMs(now, b.HoldingsAt),
	}
}

// ageMs returns the age of a belief in milliseconds, or unknownAge if at is zero.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at).Milliseconds()
}
