package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/entry"
)

// newStatusCommand returns the command that shows what entries know.
func newStatusCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status URL...",
		Short: "Show what entries know, by the base URLs of their admin interfaces",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, baseURL := range args {
				body, err := readSource(baseURL, "/status")
				if err != nil {
					return err
				}
				if asJSON {
					if _, err := cmd.OutOrStdout().Write(body); err != nil {
						return err
					}
					continue
				}
				var s entry.Status
				if err := json.Unmarshal(body, &s); err != nil {
					return fmt.Errorf("%s: %w", baseURL, err)
				}
				if err := printStatus(cmd.OutOrStdout(), s); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printStatus(w io.Writer, s entry.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{
		fmt.Sprintf("entry %s\tready %v\tleaving %v\tconfiguration %d\tcalls %d",
			s.Host, s.Ready, s.Leaving, s.ConfigOffset, s.Calls),
		"HOST\tROLE\tZONE\tSERVICE\tLINKED\tLEAVING\tSILENT MS\tRUNNING\tQUEUED\tCONFIGURATION",
	}
	for _, p := range s.Peers {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%d",
			p.Host, p.Role, p.Zone, p.Service, p.Linked, p.Leaving, p.SilentMs, p.Running, p.Queued, p.ConfigOffset))
	}
	if s.Rates != nil {
		lines = append(lines, "CUSTOMER\tSHARE\tTOKENS\tCOORDINATOR")
		for _, name := range slices.Sorted(maps.Keys(s.Rates.Shares)) {
			share := s.Rates.Shares[name]
			lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.0f\t%s", name, share.Fraction, share.Tokens, s.Rates.Coordinator))
		}
	}
	lines = append(lines, "MODEL\tENDPOINTS")
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		lines = append(lines, fmt.Sprintf("%s\t%d", name, s.Models[name]))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}
