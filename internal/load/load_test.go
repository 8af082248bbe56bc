package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a generator that ends by an answer that has no body by its status.
func TestAnswerWithoutBodyIsCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer server.Close()
	report := New().Run(context.Background(), Plan{
		URLs:          []string{server.URL},
		Method:        http.MethodGet,
		RatePerSecond: 100,
		Duration:      50 * time.Millisecond,
		Timeout:       time.Second,
	})
	if report.Statuses[http.StatusNoContent] != report.Sent || report.Truncated != 0 {
		t.Errorf("%d of %d answers counted, %d as truncated", report.Statuses[http.StatusNoContent], report.Sent, report.Truncated)
	}
}
