package edge

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/poison"
)

// fingerprintOf returns the fingerprint of a request of customer acme.
func fingerprintOf(t *testing.T, head, body string) poison.Part {
	t.Helper()
	var h fasthttp.RequestHeader
	if err := h.Read(bufio.NewReader(strings.NewReader(head + "\r\n\r\n"))); err != nil {
		t.Fatal(err)
	}
	request, err := decodeRequest(&h, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return poison.NewFingerprint("acme", contentHash(&h, request, []byte(body)))
}

// Guards against telling a request from its own repeats, and against taking a request
// for another one that differs in what its endpoint gets.
func TestFingerprintTellsContentsApart(t *testing.T) {
	const (
		head = "POST /look/1?day=2 HTTP/1.1\r\nHost: shop.example\r\nX-Prompt-Prefix: a:1,b:2"
		body = "body"
	)
	want := fingerprintOf(t, head+"\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 300", body)
	for _, same := range []string{
		head + "\r\nX-Request-Id: 2",
		head + "\r\nLast-Event-Id: 4\r\nX-Deadline-Ms: 200",
		strings.Replace(head, "shop.example", "SHOP.example:80", 1),
	} {
		if got := fingerprintOf(t, same, body); got != want {
			t.Errorf("%q has the fingerprint %v, want %v", same, got, want)
		}
	}
	for old, replaced := range map[string]string{
		"POST": "PUT", "/look/1": "/look/2", "day=2": "day=3", "shop": "chat", "b:2": "c:2",
	} {
		if fingerprintOf(t, strings.Replace(head, old, replaced, 1), body) == want {
			t.Errorf("with %q for %q the fingerprint is the same", replaced, old)
		}
	}
	if fingerprintOf(t, head, "other") == want {
		t.Error("with another body the fingerprint is the same")
	}
	if content := "content"; poison.NewFingerprint("acme", content) == poison.NewFingerprint("free", content) {
		t.Error("with another customer the fingerprint is the same")
	}
}
