package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/burn"
	"dogwoodfold/internal/trace"
)

const adminTimeout = 5 * time.Second

// newReportCommand returns the commands that report on metrics.
func newReportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Report on a running or recorded fleet, or on one request",
	}
	cmd.AddCommand(newBurnCommand(), newRequestCommand())
	return cmd
}

func newBurnCommand() *cobra.Command {
	var format string
	var since []string
	cmd := &cobra.Command{
		Use:   "burn SOURCE...",
		Short: "Report how fast services spend their error budgets",
		Long: "Each SOURCE is the base URL of an entry's admin interface, or a file with\n" +
			"saved metrics. All sources of one time add up; --since names the files of\n" +
			"an earlier time, which are taken off the totals.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scrape, err := readMetrics(args)
			if err != nil {
				return err
			}
			baseline, err := readMetrics(since)
			if err != nil {
				return err
			}
			return writeBurnReport(cmd.OutOrStdout(), format, burn.NewReport(scrape.Since(baseline)))
		},
	}
	cmd.Flags().StringVar(&format, "format", "text", "text, json or html")
	cmd.Flags().StringSliceVar(&since, "since", nil, "sources of an earlier time")
	return cmd
}

func writeBurnReport(w io.Writer, format string, report burn.Report) error {
	switch format {
	case "text":
		return burn.Print(w, report)
	case "json":
		return json.NewEncoder(w).Encode(report)
	case "html":
		return burn.WriteHTML(w, report)
	default:
		return fmt.Errorf("format %q is not text, json or html", format)
	}
}

// readMetrics adds up the metrics of sources.
func readMetrics(sources []string) (*burn.Scrape, error) {
	scrape := burn.NewScrape()
	for _, source := range sources {
		text, err := readSource(source, "/metrics")
		if err != nil {
			return nil, err
		}
		if err := scrape.Read(bytes.NewReader(text)); err != nil {
			return nil, fmt.Errorf("%s: %w", source, err)
		}
	}
	return scrape, nil
}

// readSource reads a file, or a path below the base URL of an admin interface.
func readSource(source, path string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		return os.ReadFile(source)
	}
	status, body, err := fasthttp.GetTimeout(nil, strings.TrimSuffix(source, "/")+path, adminTimeout)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s: answered %d", source, status)
	}
	return body, nil
}

// newRequestCommand returns the command that explains a request from saved logs.
func newRequestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "request ID LOG...",
		Short: "Print what the logs of all entries say of one request, and what decided it",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []trace.Line
			for _, path := range args[1:] {
				fileLines, skipped, err := readLogFile(path)
				if err != nil {
					return err
				}
				if skipped > 0 {
					cmd.PrintErrf("%s: %d lines are not readable\n", path, skipped)
				}
				lines = append(lines, fileLines...)
			}
			timeline, err := trace.Find(lines, args[0])
			if err != nil {
				return err
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
}

func readLogFile(path string) ([]trace.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	lines, skipped, err := trace.Read(file)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return lines, skipped, nil
}
