package cmds

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/netip"
	"net/url"
	"os"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/strict"
)

// TLSFiles names the PEM files for mutual TLS between processes. Either all three
// files or none must be set.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// EntrySettings is the content of an entry's settings file.
type EntrySettings struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Listen accepts requests from callers, Peers connections from other
	// entries, and Admin read-only requests from operators.
	Listen netip.AddrPort `json:"listen"`
	Peers  netip.AddrPort `json:"peers"`
	Admin  netip.AddrPort `json:"admin"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// LogRetention is how long the log retains records; 0 means indefinitely.
	LogRetention time.Duration `json:"logRetention"`
	// IsolationLimit is how long the entry keeps admitting calls without hearing
	// from the log or any other entry. It defaults to 15 seconds.
	IsolationLimit time.Duration `json:"isolationLimit"`
	// ZoneLatency is the one-way latency to other availability zones, by zone.
	// It defaults to 1 ms for zones that it doesn't list.
	ZoneLatency map[string]time.Duration `json:"zoneLatency"`
	// StaticShare is this entry's fixed share of every customer's rate and
	// burst. If it is 0, the entries redistribute shares dynamically.
	StaticShare float64 `json:"staticShare"`
	// DrainDelay is how long an entry that is shutting down keeps accepting
	// requests after its readiness check starts to fail, because the load
	// balancer reacts with a delay. It defaults to 0.
	DrainDelay time.Duration `json:"drainDelay"`
	// StopLimit is the timeout of a graceful shutdown. It defaults to 10 minutes.
	StopLimit time.Duration `json:"stopLimit"`
	// WeightStore limits the load that planners put on the weight store.
	WeightStore WeightStoreLimits `json:"weightStore"`
	TLS         TLSFiles          `json:"tls"`
}

// WeightStoreLimits holds the limits of the weight store. A limit of 0 selects the
// default.
type WeightStoreLimits struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	Loads          int     `json:"loads"`
	AdapterLoads   int     `json:"adapterLoads"`
}

// placementSettings returns the planner settings with these limits applied.
func (w *WeightStoreLimits) placementSettings() place.Settings {
	s := place.DefaultSettings()
	s.LoadsPerSecond = cmp.Or(w.LoadsPerSecond, s.LoadsPerSecond)
	s.MaxLoads = cmp.Or(w.Loads, s.MaxLoads)
	s.MaxAdapterLoads = cmp.Or(w.AdapterLoads, s.MaxAdapterLoads)
	return s
}

// AgentSettings is the content of an agent's settings file.
type AgentSettings struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Kind is "engine" or "service".
	Kind   string         `json:"kind"`
	Listen netip.AddrPort `json:"listen"`
	Admin  netip.AddrPort `json:"admin"`
	// Endpoint is the address of the endpoint that the agent fronts.
	Endpoint netip.AddrPort `json:"endpoint"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// Slots is the maximum number of concurrent calls at the endpoint.
	Slots int `json:"slots"`
	// Rates is the rate limiting mode, "shares" (the default) or "static". With
	// "shares" the agent admits calls only from the entries listed in the
	// coordinator's view. With "static" it trusts every entry to stay within
	// its staticShare.
	Rates string `json:"rates"`
	// ClaimWindow is how long an idempotency key remains valid. It defaults to
	// one hour. The log must retain records for longer than that.
	ClaimWindow time.Duration `json:"claimWindow"`
	// KeepOutcomes is how long responses are kept for replay to repeated
	// requests. It defaults to 10 minutes.
	KeepOutcomes time.Duration `json:"keepOutcomes"`
	// ClaimWait is the timeout for waiting on the log. It defaults to 2 seconds.
	ClaimWait time.Duration `json:"claimWait"`
	// StopLimit is the timeout of a graceful shutdown. It defaults to 10 minutes.
	StopLimit time.Duration `json:"stopLimit"`
	// MaxOrderDelay is an upper bound on the time between sending an order and
	// its last effect at an engine that ignores fencing numbers. It defaults to
	// 10 seconds.
	MaxOrderDelay time.Duration `json:"maxOrderDelay"`
	TLS           TLSFiles      `json:"tls"`
}

// Kinds of endpoints.
const (
	endpointKindEngine  = "engine"
	endpointKindService = "service"
)

// Default and minimum of the isolation limit, which bounds how long an entry that
// is partitioned from the log and the other entries may accept a revoked key.
const (
	defaultIsolationLimit = 15 * time.Second
	// minIsolationLimit leaves enough time for two long-poll reads from the log.
	minIsolationLimit = 2*plat.FollowWait + time.Second
)

// Modes in which entries enforce the customers' rate limits.
const (
	rateModeShares = "shares"
	rateModeStatic = "static"
)

// minMaxOrderDelay leaves enough time for the request that carries the order.
const minMaxOrderDelay = 3 * time.Second

// readSettings decodes and validates a settings file. It reports all errors at
// once.
func readSettings(file string, settings interface{ check(*strict.FieldErrors) }) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var fieldErrs strict.FieldErrors
	if err := strict.Decode(data, settings); err != nil && !errors.As(err, &fieldErrs) {
		return err
	}
	settings.check(&fieldErrs)
	return fieldErrs.Err()
}

func (s *EntrySettings) check(fieldErrs *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, fieldErrs)
	checkNotEmpty("zone", s.Zone, fieldErrs)
	checkAddress("listen", s.Listen, fieldErrs)
	checkAddress("peers", s.Peers, fieldErrs)
	checkAddress("admin", s.Admin, fieldErrs)
	checkURL("log", s.Log, fieldErrs)
	checkURL("hosts", s.Hosts, fieldErrs)
	for zone, latency := range s.ZoneLatency {
		if latency < 0 {
			fieldErrs.Add("zoneLatency."+zone, "is %v, must not be negative", latency)
		}
	}
	if s.StaticShare < 0 || s.StaticShare > 1 {
		fieldErrs.Add("staticShare", "is %v, must be between 0 and 1", s.StaticShare)
	}
	checkDuration("drainDelay", s.DrainDelay, fieldErrs)
	checkDuration("stopLimit", s.StopLimit, fieldErrs)
	if s.WeightStore.LoadsPerSecond < 0 || s.WeightStore.Loads < 0 || s.WeightStore.AdapterLoads < 0 {
		fieldErrs.Add("weightStore", "limits must not be negative")
	}
	if s.LogRetention < 0 {
		fieldErrs.Add("logRetention", "must not be negative")
	}
	if s.IsolationLimit != 0 && s.IsolationLimit < minIsolationLimit {
		fieldErrs.Add("isolationLimit", "must be at least %v", minIsolationLimit)
	}
	s.TLS.check(fieldErrs)
}

func (s *AgentSettings) check(fieldErrs *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, fieldErrs)
	checkNotEmpty("zone", s.Zone, fieldErrs)
	checkNotEmpty("service", s.Service, fieldErrs)
	checkAddress("listen", s.Listen, fieldErrs)
	checkAddress("admin", s.Admin, fieldErrs)
	checkAddress("endpoint", s.Endpoint, fieldErrs)
	checkURL("log", s.Log, fieldErrs)
	checkURL("hosts", s.Hosts, fieldErrs)
	if s.Kind != endpointKindEngine && s.Kind != endpointKindService {
		fieldErrs.Add("kind", "is %q, must be %q or %q", s.Kind, endpointKindEngine, endpointKindService)
	}
	if s.Rates != "" && s.Rates != rateModeShares && s.Rates != rateModeStatic {
		fieldErrs.Add("rates", "is %q, must be %q or %q", s.Rates, rateModeShares, rateModeStatic)
	}
	if s.Slots < 1 {
		fieldErrs.Add("slots", "must be at least 1")
	}
	checkDuration("claimWindow", s.ClaimWindow, fieldErrs)
	checkDuration("keepOutcomes", s.KeepOutcomes, fieldErrs)
	checkDuration("claimWait", s.ClaimWait, fieldErrs)
	checkDuration("stopLimit", s.StopLimit, fieldErrs)
	if s.KeepOutcomes > cmp.Or(s.ClaimWindow, dedup.DefaultClaimWindow) {
		fieldErrs.Add("keepOutcomes", "must not be longer than claimWindow")
	}
	if s.MaxOrderDelay == 0 {
		s.MaxOrderDelay = place.DefaultMaxOrderDelay
	}
	if s.MaxOrderDelay < minMaxOrderDelay {
		fieldErrs.Add("maxOrderDelay", "must be at least %v", minMaxOrderDelay)
	}
	s.TLS.check(fieldErrs)
}

func checkNotEmpty(path, value string, fieldErrs *strict.FieldErrors) {
	if value == "" {
		fieldErrs.Add(path, "is missing")
	}
}

func checkAddress(path string, address netip.AddrPort, fieldErrs *strict.FieldErrors) {
	if !address.IsValid() {
		fieldErrs.Add(path, "is missing or not an IP address and port such as 10.0.0.1:8080")
	}
}

func checkDuration(path string, d time.Duration, fieldErrs *strict.FieldErrors) {
	if d < 0 {
		fieldErrs.Add(path, "must not be negative")
	}
}

func checkURL(path, value string, fieldErrs *strict.FieldErrors) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		fieldErrs.Add(path, "%q is not an http URL such as http://10.0.0.1:8080", value)
	}
}

func (f *TLSFiles) check(fieldErrs *strict.FieldErrors) {
	count := 0
	for _, file := range []string{f.Certificate, f.Key, f.Authority} {
		if file != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		fieldErrs.Add("tls", "certificate, key and authority must be set together or not at all")
	}
}

// tlsConfig returns the configuration for mutual TLS, or nil if no files are set.
// Peers must present a certificate signed by the authority. The name in it isn't
// verified, because processes reach each other by IP addresses that change.
func (f *TLSFiles) tlsConfig() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	authorityPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("no PEM certificate found in " + f.Authority)
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              roots,
		InsecureSkipVerify:     true, // VerifyConnection verifies the certificate chain instead
		VerifyConnection:       verifyChain(roots),
		SessionTicketsDisabled: true,
	}, nil
}

// verifyChain returns a function that verifies that the peer's certificate chains
// to one of the roots.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
