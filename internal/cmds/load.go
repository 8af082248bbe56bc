package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/load"
)

// newLoadCommand returns the load generator command, which sends requests at a
// fixed mean rate.
func newLoadCommand() *cobra.Command {
	plan := load.Plan{}
	var headers []string
	var bodyFile, keyFile string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "load URL...",
		Short: "Send requests at a fixed mean rate and measure the responses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan.URLs = args
			if plan.RatePerSecond <= 0 || plan.Duration <= 0 {
				return errors.New("rate and duration must be greater than 0")
			}
			if err := fillPlan(&plan, headers, bodyFile, keyFile); err != nil {
				return err
			}
			report := load.New().Run(cmd.Context(), plan)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(summarize(report))
			}
			return printReport(cmd.OutOrStdout(), report)
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&plan.RatePerSecond, "rate", 10, "requests per second")
	flags.DurationVar(&plan.Duration, "duration", 10*time.Second, "how long to send requests")
	flags.DurationVar(&plan.Timeout, "timeout", time.Minute, "timeout of each request")
	flags.StringVar(&plan.Method, "method", "POST", "HTTP method")
	flags.Uint64Var(&plan.Seed, "seed", 1, "random seed of the intervals between requests")
	flags.StringArrayVar(&headers, "header", nil, "request header in the form NAME: VALUE")
	flags.StringVar(&bodyFile, "body", "", "file that holds the request body")
	flags.StringVar(&keyFile, "key-file", "", "file that holds the caller's API key")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// fillPlan sets the headers and body of a plan and adds the API key as a bearer
// token.
func fillPlan(plan *load.Plan, headers []string, bodyFile, keyFile string) error {
	for _, header := range headers {
		name, value, ok := strings.Cut(header, ":")
		if !ok {
			return fmt.Errorf("header %q is not in the form NAME: VALUE", header)
		}
		plan.Headers = append(plan.Headers, [2]string{name, strings.TrimSpace(value)})
	}
	if bodyFile != "" {
		body, err := os.ReadFile(bodyFile)
		if err != nil {
			return err
		}
		plan.Body = body
	}
	if keyFile != "" {
		key, err := os.ReadFile(keyFile)
		if err != nil {
			return err
		}
		plan.Headers = append(plan.Headers, [2]string{"Authorization", "Bearer " + strings.TrimSpace(string(key))})
	}
	return nil
}

// loadSummary is the JSON form of a report. Latencies are in milliseconds.
type loadSummary struct {
	*load.Report
	FirstByteMs percentiles `json:"firstByteMs"`
	TotalMs     percentiles `json:"wholeMs"`
	EventGapMs  percentiles `json:"betweenMs"`
}

// percentiles summarizes a histogram.
type percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// summarize returns the JSON form of a report.
func summarize(r *load.Report) loadSummary {
	return loadSummary{
		Report:      r,
		FirstByteMs: percentilesOf(r.FirstByte),
		TotalMs:     percentilesOf(r.Total),
		EventGapMs:  percentilesOf(r.EventGap),
	}
}

// percentilesOf returns the percentiles of a histogram of microseconds.
func percentilesOf(h *hdrhistogram.Histogram) percentiles {
	const microsPerMilli = 1000
	return percentiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}

// printReport writes a report as text.
func printReport(w io.Writer, r *load.Report) error {
	s := summarize(r)
	_, err := fmt.Fprintf(w, "sent      %d in %v\nstatuses  %v\nverdicts  %v\nbroken    %d\nevents    %d\n"+
		"ms        %8s %8s %8s %8s\n%s%s%s",
		r.Sent, r.Elapsed.Round(time.Millisecond), r.Statuses, r.Verdicts, r.Truncated, r.Events,
		"p50", "p95", "p99", "max",
		s.FirstByteMs.format("first"), s.TotalMs.format("whole"), s.EventGapMs.format("between"))
	return err
}

// format returns a row of the text form.
func (p percentiles) format(name string) string {
	return fmt.Sprintf("%-9s %8.2f %8.2f %8.2f %8.2f\n", name, p.P50, p.P95, p.P99, p.Max)
}
