package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/plat"
)

// evacuationFormat is the first format of configurations that can evacuate zones.
const evacuationFormat = 2

// newEvacuateCommand returns the command that evacuates a zone.
func newEvacuateCommand() *cobra.Command {
	var logURL string
	var giveBack bool
	p := publisher{
		patch: true,
		wait:  defaultPublishWait,
	}
	cmd := &cobra.Command{
		Use:   "evacuate ZONE",
		Short: "Send no more calls to the agents of an availability zone",
		Long: `Send no more calls to the agents of an availability zone, or give it back.

The command publishes a merge patch of evacuatedZones. It needs format 2 of the
configuration, to which it raises an older one: run it only when all entries are of
a release that knows format 2. The exit status is that of config publish.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p.log = plat.NewHTTPLog(logURL)
			offset, err := p.evacuate(cmd.Context(), args[0], giveBack)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "accepted", offset)
			return err
		},
	}
	addLogFlag(cmd, &logURL)
	cmd.Flags().BoolVar(&giveBack, "return", false, "give the zone back")
	cmd.Flags().DurationVar(&p.wait, "wait", defaultPublishWait, "timeout for determining the outcome")
	return cmd
}

// evacuate publishes the evacuation of a zone or its end.
func (p *publisher) evacuate(ctx context.Context, zone string, giveBack bool) (offset uint64, err error) {
	fold, err := replayConfig(ctx, p.log, 0)
	if err != nil {
		return 0, err
	}
	p.base = fold.Accepted
	patch := map[string]any{"evacuatedZones": map[string]any{zone: map[string]any{}}}
	if giveBack {
		patch["evacuatedZones"] = map[string]any{zone: nil}
	}
	if fold.Config != nil && fold.Config.Format < evacuationFormat {
		patch["format"] = evacuationFormat
	}
	data, err := json.Marshal(patch)
	if err != nil {
		return 0, err
	}
	return p.publish(ctx, data)
}
