package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/burn"
	"dogwoodfold/internal/report"
	"dogwoodfold/internal/trace"
)

// adminTimeout is the timeout of a request to an admin interface.
const adminTimeout = 5 * time.Second

// newReportCommand returns the commands that report on metrics and logs.
func newReportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Report on a running or recorded fleet, or on one request",
	}
	cmd.AddCommand(newBurnCommand(), newRequestCommand(), newFleetCommand())
	return cmd
}

// newBurnCommand returns the command that reports burn rates.
func newBurnCommand() *cobra.Command {
	var format string
	var since []string
	cmd := &cobra.Command{
		Use:   "burn SOURCE...",
		Short: "Report the burn rates of the services' error budgets",
		Long: "Each SOURCE is the base URL of an entry's admin interface, or a file of saved\n" +
			"metrics. The sources are summed. --since names sources of an earlier time,\n" +
			"whose totals are subtracted.",
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
	cmd.Flags().StringVar(&format, "format", "text", "output format: text, json or html")
	cmd.Flags().StringSliceVar(&since, "since", nil, "sources of an earlier time whose totals are subtracted")
	return cmd
}

// writeBurnReport writes a report in a format.
func writeBurnReport(w io.Writer, format string, r burn.Report) error {
	switch format {
	case "text":
		return burn.Print(w, r)
	case "json":
		return json.NewEncoder(w).Encode(r)
	case "html":
		return burn.WriteHTML(w, r)
	default:
		return fmt.Errorf("format %q is not text, json or html", format)
	}
}

// readMetrics sums the metrics of all sources.
func readMetrics(sources []string) (*burn.Scrape, error) {
	scrape := burn.NewScrape()
	for _, source := range sources {
		metrics, err := readSource(source, "/metrics")
		if err != nil {
			return nil, err
		}
		if err := scrape.Read(bytes.NewReader(metrics)); err != nil {
			return nil, fmt.Errorf("%s: %w", source, err)
		}
	}
	return scrape, nil
}

// readSource reads the file source or, if source is the base URL of an admin
// interface, fetches path below it.
func readSource(source, path string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		return os.ReadFile(source)
	}
	status, body, err := fasthttp.GetTimeout(nil, strings.TrimSuffix(source, "/")+path, adminTimeout)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s: unexpected HTTP status %d", source, status)
	}
	return body, nil
}

// newRequestCommand returns the command that reconstructs the timeline of a
// request from log files.
func newRequestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "request ID LOG...",
		Short: "Print the timeline of one request from the logs of all entries, and what decided its outcome",
		Long: "Print the timeline of one request from the logs of all entries, and what decided its\n" +
			"outcome. Each LOG is a file, or a directory whose files are all read.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			timeline, err := trace.Find(lines, args[0])
			if err != nil {
				return err
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
}

// newFleetCommand returns the command that summarizes the logs of a fleet.
func newFleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fleet LOG...",
		Short: "Write an HTML page on the requests, leader changes, shares and loads in the logs of all entries",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			fleet, err := report.New(lines)
			if err != nil {
				return err
			}
			return fleet.WriteHTML(cmd.OutOrStdout())
		},
	}
}

// readLogs reads the lines of all files, and of all files below directories. It prints how
// many it skipped.
func readLogs(cmd *cobra.Command, paths []string) ([]trace.Line, error) {
	files, err := listFiles(paths)
	if err != nil {
		return nil, err
	}
	var lines []trace.Line
	for _, path := range files {
		fileLines, skipped, err := readLogFile(path)
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			cmd.PrintErrf("%s: skipped %d malformed lines\n", path, skipped)
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

// listFiles returns the paths with each directory replaced by the files below it, in order.
func listFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() {
				files = append(files, file)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readLogFile reads the lines of a file, and counts those that are malformed.
func readLogFile(path string) (lines []trace.Line, skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines, skipped, err = trace.Read(file)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return lines, skipped, nil
}
