package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// newConfigCommand returns the commands for the published text.
func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, publish and show the configuration",
	}
	cmd.AddCommand(newCheckCommand(), newPublishCommand(), newOutcomeCommand(), newRestoreCommand(), newShowCommand(), newDiffCommand())
	return cmd
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a text and report all faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := config.Parse(data); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		},
	}
}

// defaultPublishWait is how long a publish waits to learn its outcome.
const defaultPublishWait = 10 * time.Second

func newPublishCommand() *cobra.Command {
	var logURL string
	var p publisher
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a text, or a merge patch to the one in force",
		Long: `Publish a text, or a merge patch to the one in force.

Exit status 0 says accepted, 1 not published, 3 refused (another publish came
first, or the result is not valid), 4 not known yet: ask with config outcome.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p.log = plat.NewHTTPLog(logURL)
			offset, err := p.publish(cmd.Context(), data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "accepted", offset)
			return err
		},
	}
	addLogFlag(cmd, &logURL)
	cmd.Flags().BoolVar(&p.patch, "patch", false, "FILE is an RFC 7386 merge patch")
	cmd.Flags().Uint64Var(&p.base, "base", 0, "offset that FILE builds on, that of the text in force if 0")
	cmd.Flags().DurationVar(&p.wait, "wait", defaultPublishWait, "how long to wait for the outcome")
	return cmd
}

func newOutcomeCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "outcome NONCE",
		Short: "Tell what became of a publish whose outcome was not known",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			offset, err := publishOutcome(cmd.Context(), plat.NewHTTPLog(logURL), args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "accepted", offset)
			return err
		},
	}
	addLogFlag(cmd, &logURL)
	return cmd
}

func newRestoreCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "restore FILE",
		Short: "Start the configuration anew in a log that has lost it",
		Long: `Start the configuration anew in a log that has lost it, which happens when no
entry has run for as long as the log keeps records. A log that still has a
configuration is left alone.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			offset, err := restoreConfig(cmd.Context(), plat.NewHTTPLog(logURL), data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "restored", offset)
			return err
		},
	}
	addLogFlag(cmd, &logURL)
	return cmd
}

func newShowCommand() *cobra.Command {
	var logURL string
	var upTo uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the text in force, and its offset on the error output",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fold, err := replayConfig(cmd.Context(), plat.NewHTTPLog(logURL), upTo)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintln(cmd.ErrOrStderr(), "offset", fold.Accepted); err != nil {
				return err
			}
			return printJSON(cmd, fold.Raw)
		},
	}
	addLogFlag(cmd, &logURL)
	cmd.Flags().Uint64Var(&upTo, "at", 0, "offset up to which the log is read, 0 for its end")
	return cmd
}

func newDiffCommand() *cobra.Command {
	var logURL string
	var from, to uint64
	cmd := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Print the merge patch from one text to another",
		Long: `Print the merge patch that leads from the text in force at one offset to FILE,
or to the text in force at another offset.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := plat.NewHTTPLog(logURL)
			oldFold, err := replayConfig(cmd.Context(), log, from)
			if err != nil {
				return err
			}
			var newDocument []byte
			if len(args) == 1 {
				newDocument, err = os.ReadFile(args[0])
			} else {
				var newFold *config.Fold
				if newFold, err = replayConfig(cmd.Context(), log, to); err == nil {
					newDocument = newFold.Raw
				}
			}
			if err != nil {
				return err
			}
			patch, err := jsonpatch.CreateMergePatch(oldFold.Raw, newDocument)
			if err != nil {
				return err
			}
			return printJSON(cmd, patch)
		},
	}
	addLogFlag(cmd, &logURL)
	cmd.Flags().Uint64Var(&from, "from", 0, "offset of the old text, 0 for the one in force")
	cmd.Flags().Uint64Var(&to, "to", 0, "offset of the new text without FILE, 0 for the one in force")
	return cmd
}

// printJSON prints a JSON value with indents.
func printJSON(cmd *cobra.Command, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout(), out.String())
	return err
}

func addLogFlag(cmd *cobra.Command, logURL *string) {
	cmd.Flags().StringVar(logURL, "log", "", "base URL of the log")
	_ = cmd.MarkFlagRequired("log") // fails only for an unknown flag
}
