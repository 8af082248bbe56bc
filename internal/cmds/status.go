package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/edge"
	"dogwoodfold/internal/entry"
)

// newStatusCommand returns the command that prints the status of entries.
func newStatusCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status URL...",
		Short: "Show the status of entries and gateways, given the base URLs of their admin interfaces",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, baseURL := range args {
				if err := showStatus(cmd.OutOrStdout(), baseURL, asJSON); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// showStatus prints the status of the entry with the given admin interface.
func showStatus(w io.Writer, baseURL string, asJSON bool) error {
	body, err := readSource(baseURL, "/status")
	if err != nil {
		return err
	}
	if asJSON {
		_, err := w.Write(body)
		return err
	}
	rows, err := decodeStatusRows(body)
	if err != nil {
		return fmt.Errorf("%s: %w", baseURL, err)
	}
	return printRows(w, rows)
}

// decodeStatusRows returns the rows of the tables of a status in JSON, that of a gateway
// or of another entry.
func decodeStatusRows(body []byte) ([]string, error) {
	var kind struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(body, &kind); err != nil {
		return nil, err
	}
	if kind.Role == edge.RoleGateway {
		var status edge.Status
		err := json.Unmarshal(body, &status)
		return gatewayRows(status), err
	}
	var status entry.Status
	err := json.Unmarshal(body, &status)
	return statusRows(status), err
}

// printRows prints rows, whose cells are separated by tabs, as aligned tables.
func printRows(w io.Writer, rows []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

// statusRows returns the rows of all tables of an entry, with tabs between the cells.
func statusRows(s entry.Status) []string {
	rows := []string{
		fmt.Sprintf("entry %s\tready %v\tleaving %v\tconfiguration %d\tcalls %d",
			s.Host, s.Ready, s.Leaving, s.ConfigOffset, s.Calls),
		"HOST\tROLE\tZONE\tSERVICE\tLINKED\tLEAVING\tSILENT MS\tRUNNING\tQUEUED\tCONFIGURATION",
	}
	for _, p := range s.Peers {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%d",
			p.Host, p.Role, p.Zone, p.Service, p.Linked, p.Leaving, p.SilentMs, p.Running, p.Queued, p.ConfigOffset))
	}
	if s.Rates != nil {
		rows = append(rows, "CUSTOMER\tSHARE\tTOKENS\tCOORDINATOR")
		for _, name := range slices.Sorted(maps.Keys(s.Rates.Shares)) {
			share := s.Rates.Shares[name]
			rows = append(rows, fmt.Sprintf("%s\t%.3f\t%.0f\t%s", name, share.Fraction, share.Tokens, s.Rates.Coordinator))
		}
	}
	rows = append(rows, "MODEL\tENDPOINTS")
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		rows = append(rows, fmt.Sprintf("%s\t%d", name, s.Models[name]))
	}
	return rows
}
