package e2e

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

func TestKeysGoNowhere(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	base := s.entries[0].url()
	for i, headers := range [][]string{
		{"X-Api-Key", boothKey, "Cookie", "session=" + boothKey},
		{"Authorization", "Bearer " + boothKey, "X-Note", "the key is " + boothKey},
		{"X-Api-Key", boothKey, "X-Note", otherKey},
		{"X-Api-Key", boothKey, "X-Note", "Bearer " + otherKey},
		{"X-Api-Key", boothKey, "Proxy-Authorization", "Bearer " + boothKey, "Idempotency-Key", boothKey},
	} {
		res := do(t, "POST", base+"/charge?note="+boothKey+"&key="+boothKey+"&note="+otherKey+"&note=fine",
			fmt.Sprint("n-", i), headers...)
		if res.status != 200 {
			t.Errorf("case %d: %+v", i, res)
		}
	}
	// A route with open access needs no key, and a key is not forwarded either.
	if res := do(t, "GET", base+"/stock", "", "Authorization", "Bearer "+boothKey, "Cookie", boothKey); res.status != 200 {
		t.Errorf("open route: %+v", res)
	}
	for _, res := range []callResult{
		do(t, "POST", base+"/charge/"+boothKey, "x", "X-Api-Key", boothKey),
		do(t, "POST", base+"/charge", "my key: "+boothKey, "X-Api-Key", boothKey),
		do(t, "POST", base+"/charge", "x", "X-Api-Key", boothKey+"\x01"),
	} {
		if res.status < 400 || res.status > 401 || res.verdict != "not-run" || strings.Contains(res.body, boothKey) {
			t.Errorf("key in the path or the body, or a malformed key: %+v, want a refusal as not run", res)
		}
	}
	seen := do(t, "GET", s.services[0].url()+"/fake/requests", "").body
	if strings.Contains(seen, boothKey) || strings.Contains(seen, otherKey) || !strings.Contains(seen, "note=fine") {
		t.Errorf("requests at the endpoint: %s", seen)
	}
	claims := do(t, "GET", s.log.url()+"/streams/claims?from=1", "").body
	if strings.Contains(claims, boothKey) || !strings.Contains(claims, "agent-0") {
		t.Errorf("claims in the log: %s", claims)
	}
	for _, p := range []*process{s.entries[0], s.agents["agent-0"]} {
		metrics := do(t, "GET", "http://"+p.admin.String()+"/metrics", "").body
		if strings.Contains(metrics, boothKey) || !strings.Contains(metrics, "dogwoodfold_") {
			t.Errorf("metrics: %s", metrics)
		}
		logs, err := os.ReadFile(p.logFile)
		if err != nil || strings.Contains(string(logs), boothKey) || strings.Contains(string(logs), otherKey) {
			t.Errorf("a process log contains a key or can't be read: %v", err)
		}
	}
}

// sendRaw sends bytes to an entry and returns everything received within 2 s.
func sendRaw(t *testing.T, p *process, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text) // the entry may close early
	response, _ := io.ReadAll(bufio.NewReader(conn))
	return string(response)
}

// TestSmuggling checks request smuggling: it sends requests whose end two HTTP
// parsers may place differently. No request hidden in the body of another may
// reach the endpoint. Neither may a path that leads to another route once it is
// normalized.
func TestSmuggling(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	hidden := "POST /charge HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + boothKey + "\r\nContent-Length: 6\r\n\r\nhidden"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, head := range map[string]string{
		"length and chunks":      fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(chunk), chunk),
		"chunks and length":      "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + chunk,
		"two lengths":            fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n\r\n%s", len(hidden), hidden),
		"negative length":        "Content-Length: -1\r\n\r\n" + chunk,
		"length with plus":       fmt.Sprintf("Content-Length: +%d\r\n\r\n%s", len(hidden), hidden),
		"unknown coding":         "Transfer-Encoding: xchunked\r\n\r\n" + chunk,
		"space before the colon": fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(hidden), hidden),
		"bare line feeds":        fmt.Sprintf("X: y\n\n\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"folded header":          fmt.Sprintf("X: y\r\n Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
	} {
		_ = sendRaw(t, s.entries[0], "POST /charge HTTP/1.1\r\nHost: x\r\nX-Api-Key: "+boothKey+"\r\n"+head)
		for _, r := range requestsWith(t, s.services[0], "hidden") {
			t.Errorf("%s: a hidden request reached the endpoint: %+v", name, r)
		}
	}
	for _, path := range []string{
		"/stock/../charge", "/stock/%2e%2e/charge", "/stock/..%2fcharge", "/stock//charge", "/stock/%5c..%5ccharge",
	} {
		res := sendRaw(t, s.entries[0], "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if strings.Contains(res, " 200 ") {
			t.Errorf("%s was forwarded: %s", path, res)
		}
	}
}

func TestOversizedInput(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	res := sendRaw(t, s.entries[0],
		"POST /charge HTTP/1.1\r\nHost: x\r\nX-Api-Key: "+boothKey+"\r\nX-Big: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	if strings.Contains(res, " 200 ") {
		t.Errorf("header of 64 KiB was accepted: %s", res)
	}
	large := s.chargeVia(t, 0, "/charge", strings.Repeat("x", 5<<20), "")
	if large.err == nil && (large.status != 413 || large.verdict != "not-run") {
		t.Errorf("body of 5 MiB: status %d %s, want 413 not-run", large.status, large.verdict)
	}
	if res := s.chargeVia(t, 0, "/charge", "x", strings.Repeat("k", 300)); res.status != 400 || res.verdict != "not-run" {
		t.Errorf("key of 300 bytes: %+v, want 400 not-run", res)
	}
	if res := s.chargeVia(t, 0, "/charge", "x", "", "X-Request-Timeout", "99h"); res.status != 400 || res.verdict != "not-run" {
		t.Errorf("timeout of 99 h: %+v, want 400 not-run", res)
	}
	if res := s.chargeVia(t, 0, "/charge", "fine", ""); res.status != 200 {
		t.Errorf("valid call afterwards: %+v, want 200", res)
	}
}

// TestDatedKey checks an idempotency key whose embedded time, a UUIDv7 of 2023, is
// older than the deduplication window.
func TestDatedKey(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	const keyFrom2023 = "018b0000-0000-7000-8000-000000000000"
	res := s.chargeVia(t, 0, "/charge", "old", keyFrom2023)
	if res.status != 409 || res.verdict != "may-have-run" || s.runCount(t, "old") != 0 {
		t.Errorf("key older than the window: %+v, want 409 may-have-run and no run", res)
	}
}

// TestEachCallerGetsItsOwnAnswer makes concurrent calls while a service truncates,
// delays and drops responses. No caller may receive the answer to another call.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 2)
	load := &loadGenerator{}
	load.start(16, func(n int64) callResult {
		body := fmt.Sprint("order-", n)
		res := s.chargeVia(t, int(n%2), "/charge", body, "")
		if res.status == 200 && !strings.Contains(res.body, `"echo":"`+body+`"`) {
			t.Errorf("call %s received the answer %s", body, res.body)
		}
		if res.status != 200 && res.verdict == "not-run" && s.runCount(t, body) > 0 {
			t.Errorf("call %s ran but returned %+v", body, res)
		}
		if res.status == 502 && res.verdict == "may-have-run" {
			res.status = 200 // correct, and an expected result of the faults
		}
		return res
	})
	for _, f := range []fakes.Faults{{CutAfter: 1}, {DelayMs: 20}, {LoseAnswers: true}, {TokenMs: 10}, {}} {
		s.services[0].setFaults(t, f)
		load.awaitCalls(t, 100)
	}
	load.finish(t)
}

// authority is a certificate authority for a test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key, a.cert = a.sign(t, "ca", nil, nil)
	return a
}

// sign creates a certificate and its key, and writes them to NAME.crt and
// NAME.key. Without a parent the certificate is self-signed.
func (a *authority) sign(
	t *testing.T, name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey,
) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		name + ".crt": {Type: "CERTIFICATE", Bytes: der},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return key, cert
}

// tlsSettings issues a certificate for a process and returns its TLS settings.
func (a *authority) tlsSettings(t *testing.T, name string) map[string]any {
	t.Helper()
	a.sign(t, name, a.cert, a.key)
	return map[string]any{
		"certificate": filepath.Join(a.dir, name+".crt"),
		"key":         filepath.Join(a.dir, name+".key"),
		"authority":   filepath.Join(a.dir, "ca.crt"),
	}
}

// TestPeersNeedCertificates runs an agent with mutual TLS behind entries with a
// certificate of the same authority, of another authority, and without one.
func TestPeersNeedCertificates(t *testing.T) {
	t.Parallel()
	fleetCA, foreignCA := newAuthority(t), newAuthority(t)
	s := &system{
		log:    start(t, "fake", "log"),
		hosts:  start(t, "fake", "hosts"),
		agents: make(map[string]*process),
	}
	service := start(t, "fake", "service")
	agent := start(t, "agent", "--settings", writeSettings(t, map[string]any{
		"host": "agent-0", "zone": "mx-centro-a", "service": "pedidos", "kind": "service",
		"listen": loopback(t), "admin": loopback(t), "tls": fleetCA.tlsSettings(t, "agent"),
		"endpoint": service.address.String(), "slots": 16, "log": s.log.url(), "hosts": s.hosts.url(),
		"rates": "static",
	}))
	s.registerHost(t, plat.Host{
		Name:    "agent-0",
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: "pedidos",
		Address: agent.address,
		State:   plat.HostLive,
	})
	s.publish(t, plainConfig())
	for name, tls := range map[string]map[string]any{
		"good": fleetCA.tlsSettings(t, "entry"), "other": foreignCA.tlsSettings(t, "entry"), "none": {},
	} {
		entry := start(t, "entry", "--settings", writeSettings(t, map[string]any{
			"host": "entry-" + name, "zone": "mx-centro-a", "listen": loopback(t), "peers": loopback(t), "admin": loopback(t),
			"log": s.log.url(), "hosts": s.hosts.url(), "staticShare": 1, "tls": tls,
		}))
		eventually(t, "the entry is ready", func() bool { return do(t, "GET", entry.url()+"/readyz", "").status == 200 })
		charge := func() callResult { return do(t, "POST", entry.url()+"/charge", name, "X-Api-Key", boothKey) }
		if name == "good" {
			eventually(t, "the agent accepts the entry", func() bool { return charge().status == 200 })
			continue
		}
		time.Sleep(time.Second)
		if res := charge(); res.status != 503 || res.verdict != "not-run" {
			t.Errorf("%s: %+v, want 503 not-run", name, res)
		}
	}
}
