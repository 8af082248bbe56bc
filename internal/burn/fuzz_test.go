package burn_test

import (
	"bytes"
	"testing"

	"dogwoodfold/internal/burn"
)

// FuzzRead checks that no metrics text causes a panic or a report that can't be
// printed.
func FuzzRead(f *testing.F) {
	f.Add([]byte("dogwoodfold_offered_total{service=\"s\",customer=\"c\"} 3\n"))
	f.Add([]byte("dogwoodfold_window_offered{service=\"s\",window=\"5m0s\"} 1e300\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := burn.NewScrape()
		if s.Read(bytes.NewReader(text)) != nil {
			return
		}
		report := burn.NewReport(s)
		var out bytes.Buffer
		if err := burn.Print(&out, report); err != nil {
			t.Fatal(err)
		}
		if err := burn.WriteHTML(&out, report); err != nil {
			t.Fatal(err)
		}
	})
}
