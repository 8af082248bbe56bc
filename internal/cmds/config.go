package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// newConfig returns the commands for the published text.
func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, publish and show the configuration",
	}
	cmd.AddCommand(newCheck(), newPublish(), newShow())
	return cmd
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a text and report all faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := config.Parse(text); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		},
	}
}

func newPublish() *cobra.Command {
	var url string
	var patch bool
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a text, or a merge patch to the one in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			offset, err := publish(cmd.Context(), plat.NewHTTPLog(url), data, patch)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "accepted", offset)
			return err
		},
	}
	addLog(cmd, &url)
	cmd.Flags().BoolVar(&patch, "patch", false, "FILE is an RFC 7386 merge patch")
	return cmd
}

func newShow() *cobra.Command {
	var url string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the text in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fold, err := readFold(cmd.Context(), plat.NewHTTPLog(url))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(fold.Raw))
			return err
		},
	}
	addLog(cmd, &url)
	return cmd
}

func addLog(cmd *cobra.Command, url *string) {
	cmd.Flags().StringVar(url, "log", "", "base URL of the log")
	_ = cmd.MarkFlagRequired("log") // fails only for an unknown flag
}

// readFold folds the configuration stream up to its end.
func readFold(ctx context.Context, log plat.Log) (*config.Fold, error) {
	fold := config.NewFold()
	for {
		page, err := log.Read(ctx, plat.StreamConfig, fold.Next, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			_ = fold.Apply(r.Offset, r.Data) // a refused record changes nothing
		}
		if fold.Next >= page.Next || len(page.Records) == 0 {
			return fold, nil
		}
	}
}

// errUnknown reports a publish whose fate the log could not tell.
var errUnknown = errors.New("the log did not answer: the publish may or may not be accepted")

const (
	publishTries = 5
	publishPause = 500 * time.Millisecond
)

// publish appends a text or patch on the configuration in force and finds out
// by its nonce what became of it.
func publish(ctx context.Context, log plat.Log, data []byte, patch bool) (offset uint64, err error) {
	fold, err := readFold(ctx, log)
	if err != nil {
		return 0, err
	}
	p := &config.Publish{
		Base:  fold.Accepted,
		Nonce: uuid.NewString(),
	}
	if patch {
		p.Patch = data
	} else {
		p.Text = data
	}
	result, err := fold.Result(p)
	if err != nil {
		return 0, err
	}
	if _, err := config.Parse(result); err != nil {
		return 0, err
	}
	record, err := json.Marshal(config.Record{Publish: p})
	if err != nil {
		return 0, err
	}
	_, appendErr := log.Append(ctx, plat.StreamConfig, record)
	for range publishTries {
		if offset, known, err := fate(ctx, log, fold, p.Nonce); known {
			return offset, err
		}
		time.Sleep(publishPause)
	}
	return 0, errors.Join(errUnknown, appendErr)
}

// fate looks for a nonce after what was folded so far. known is false if the
// record is not in the log, or the log can't be read.
func fate(ctx context.Context, log plat.Log, fold *config.Fold, nonce string) (offset uint64, known bool, err error) {
	page, err := log.Read(ctx, plat.StreamConfig, fold.Next, 0)
	if err != nil {
		return 0, false, err
	}
	for _, r := range page.Records {
		refused := fold.Apply(r.Offset, r.Data)
		var record config.Record
		if json.Unmarshal(r.Data, &record) != nil || record.Publish == nil || record.Publish.Nonce != nonce {
			continue
		}
		return r.Offset, true, refused
	}
	return 0, false, nil
}
