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

// TLSFiles names the certificates for mutual TLS between processes. All three
// are given or none.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// EntrySettings is the settings file of an entry.
type EntrySettings struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Listen takes callers, Peers other entries, Admin operators' read-only
	// requests.
	Listen netip.AddrPort `json:"listen"`
	Peers  netip.AddrPort `json:"peers"`
	Admin  netip.AddrPort `json:"admin"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// LogRetention is how long the log keeps records, 0 for ever.
	LogRetention time.Duration `json:"logRetention"`
	// IsolationLimit is how long the entry admits calls without word from the
	// log or any other entry, defaultIsolationLimit if unset.
	IsolationLimit time.Duration `json:"isolationLimit"`
	// ZoneLatency is the one-way latency to other availability zones, 1 ms to
	// those that it does not name.
	ZoneLatency map[string]time.Duration `json:"zoneLatency"`
	// StaticShare is a fixed share of every customer's rate and burst. At 0
	// shares move between the entries.
	StaticShare float64 `json:"staticShare"`
	// DrainDelay is how long a stopping entry still takes requests after its
	// readiness has failed, since the balancer lags. None if unset.
	DrainDelay time.Duration `json:"drainDelay"`
	// StopLimit bounds a graceful shutdown, 10 minutes if unset.
	StopLimit time.Duration `json:"stopLimit"`
	// WeightStore is what the planners may ask of the weight store.
	WeightStore WeightStoreLimits `json:"weightStore"`
	TLS         TLSFiles          `json:"tls"`
}

// WeightStoreLimits holds the limits of the weight store; 0 leaves a default.
type WeightStoreLimits struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	Loads          int     `json:"loads"`
	AdapterLoads   int     `json:"adapterLoads"`
}

// placementSettings returns the planner's settings.
func (w *WeightStoreLimits) placementSettings() place.Settings {
	s := place.DefaultSettings()
	s.LoadsPerSecond = cmp.Or(w.LoadsPerSecond, s.LoadsPerSecond)
	s.MaxLoads = cmp.Or(w.Loads, s.MaxLoads)
	s.MaxAdapterLoads = cmp.Or(w.AdapterLoads, s.MaxAdapterLoads)
	return s
}

// AgentSettings is the settings file of an agent.
type AgentSettings struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Kind is "engine" or "service".
	Kind   string         `json:"kind"`
	Listen netip.AddrPort `json:"listen"`
	Admin  netip.AddrPort `json:"admin"`
	// Endpoint is the address of the endpoint beside the agent.
	Endpoint netip.AddrPort `json:"endpoint"`
	// Log and Hosts are base URLs of the platform's services.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// Slots is how many calls run at once at the endpoint.
	Slots int `json:"slots"`
	// Rates is "shares", the default, or "static". With shares an agent
	// admits calls only from the entries that the coordinator's view lists;
	// with static it trusts every entry to keep to its staticShare.
	Rates string `json:"rates"`
	// ClaimWindow is how long an idempotency key counts, an hour if unset. The
	// log must keep records for longer.
	ClaimWindow time.Duration `json:"claimWindow"`
	// KeepOutcomes is how long answers are kept for repeats, 10 minutes if
	// unset.
	KeepOutcomes time.Duration `json:"keepOutcomes"`
	// ClaimWait bounds the wait for the log, 2 seconds if unset.
	ClaimWait time.Duration `json:"claimWait"`
	// StopLimit bounds a graceful shutdown, 10 minutes if unset.
	StopLimit time.Duration `json:"stopLimit"`
	// MaxOrderDelay bounds the time from an order's sending to its last
	// effect at engines that ignore fencing numbers.
	MaxOrderDelay time.Duration `json:"maxOrderDelay"`
	TLS           TLSFiles      `json:"tls"`
}

// The kinds of endpoints.
const (
	endpointKindEngine  = "engine"
	endpointKindService = "service"
)

// The bounds on how long a withdrawn key may work at an entry that is cut off.
const (
	defaultIsolationLimit = 15 * time.Second
	// minIsolationLimit leaves the log time to answer twice.
	minIsolationLimit = 2*plat.FollowWait + time.Second
)

// The ways in which entries limit customers.
const (
	rateModeShares = "shares"
	rateModeStatic = "static"
)

// minMaxOrderDelay leaves time for an order's own request.
const minMaxOrderDelay = 3 * time.Second

// readSettings decodes and checks a settings file; all faults come at once.
func readSettings(file string, settings interface{ check(*strict.FieldErrors) }) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var faults strict.FieldErrors
	if err := strict.Decode(data, settings); err != nil && !errors.As(err, &faults) {
		return err
	}
	settings.check(&faults)
	return faults.Err()
}

func (s *EntrySettings) check(faults *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, faults)
	checkNotEmpty("zone", s.Zone, faults)
	checkAddress("listen", s.Listen, faults)
	checkAddress("peers", s.Peers, faults)
	checkAddress("admin", s.Admin, faults)
	checkURL("log", s.Log, faults)
	checkURL("hosts", s.Hosts, faults)
	for zone, latency := range s.ZoneLatency {
		if latency < 0 {
			faults.Add("zoneLatency."+zone, "is %v, want 0 or more", latency)
		}
	}
	if s.StaticShare < 0 || s.StaticShare > 1 {
		faults.Add("staticShare", "is %v, want 0 to 1", s.StaticShare)
	}
	checkDuration("drainDelay", s.DrainDelay, faults)
	checkDuration("stopLimit", s.StopLimit, faults)
	if s.WeightStore.LoadsPerSecond < 0 || s.WeightStore.Loads < 0 || s.WeightStore.AdapterLoads < 0 {
		faults.Add("weightStore", "has a negative limit")
	}
	if s.LogRetention < 0 {
		faults.Add("logRetention", "must not be negative")
	}
	if s.IsolationLimit != 0 && s.IsolationLimit < minIsolationLimit {
		faults.Add("isolationLimit", "must be %v or more", minIsolationLimit)
	}
	s.TLS.check(faults)
}

func (s *AgentSettings) check(faults *strict.FieldErrors) {
	checkNotEmpty("host", s.Host, faults)
	checkNotEmpty("zone", s.Zone, faults)
	checkNotEmpty("service", s.Service, faults)
	checkAddress("listen", s.Listen, faults)
	checkAddress("admin", s.Admin, faults)
	checkAddress("endpoint", s.Endpoint, faults)
	checkURL("log", s.Log, faults)
	checkURL("hosts", s.Hosts, faults)
	if s.Kind != endpointKindEngine && s.Kind != endpointKindService {
		faults.Add("kind", "is %q, want %q or %q", s.Kind, endpointKindEngine, endpointKindService)
	}
	if s.Rates != "" && s.Rates != rateModeShares && s.Rates != rateModeStatic {
		faults.Add("rates", "is %q, want %q or %q", s.Rates, rateModeShares, rateModeStatic)
	}
	if s.Slots < 1 {
		faults.Add("slots", "must be 1 or more")
	}
	checkDuration("claimWindow", s.ClaimWindow, faults)
	checkDuration("keepOutcomes", s.KeepOutcomes, faults)
	checkDuration("claimWait", s.ClaimWait, faults)
	checkDuration("stopLimit", s.StopLimit, faults)
	if s.KeepOutcomes > cmp.Or(s.ClaimWindow, dedup.DefaultClaimWindow) {
		faults.Add("keepOutcomes", "is longer than claimWindow")
	}
	if s.MaxOrderDelay == 0 {
		s.MaxOrderDelay = place.DefaultMaxOrderDelay
	}
	if s.MaxOrderDelay < minMaxOrderDelay {
		faults.Add("maxOrderDelay", "must be %v or more", minMaxOrderDelay)
	}
	s.TLS.check(faults)
}

func checkNotEmpty(path, value string, faults *strict.FieldErrors) {
	if value == "" {
		faults.Add(path, "is missing")
	}
}

func checkAddress(path string, address netip.AddrPort, faults *strict.FieldErrors) {
	if !address.IsValid() {
		faults.Add(path, "is missing or not an address such as 10.0.0.1:8080")
	}
}

func checkDuration(path string, d time.Duration, faults *strict.FieldErrors) {
	if d < 0 {
		faults.Add(path, "is negative")
	}
}

func checkURL(path, value string, faults *strict.FieldErrors) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		faults.Add(path, "%q is not a URL such as http://10.0.0.1:8080", value)
	}
}

func (f *TLSFiles) check(faults *strict.FieldErrors) {
	count := 0
	for _, file := range []string{f.Certificate, f.Key, f.Authority} {
		if file != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		faults.Add("tls", "needs certificate, key and authority, or none of them")
	}
}

// tlsConfig returns the configuration for mutual TLS, nil if no files are named.
// Peers are checked against the authority; their addresses are not, since
// processes know each other by IP numbers that change.
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
		return nil, errors.New("no certificate in " + f.Authority)
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              roots,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain instead
		VerifyConnection:       verifyChain(roots),
		SessionTicketsDisabled: true,
	}, nil
}

// verifyChain accepts peers whose certificate the authority has signed.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
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
