package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/strict"
	"dogwoodfold/pkg/config"
	"dogwoodfold/platform"
)

// newConfigCommand returns the commands that manage the published configuration.
func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, publish and show the configuration",
	}
	cmd.AddCommand(newCheckCommand(), newPublishCommand(), newOutcomeCommand(), newRestoreCommand(),
		newShowCommand(), newDiffCommand())
	return cmd
}

// newCheckCommand returns the command that checks a configuration file or the settings
// file of a gateway.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration or the settings of a gateway and report all errors",
		Long: `Validate a configuration or the settings file of a gateway and report all errors,
each with its path.

A configuration begins with a brace; all else is taken for settings. The platform
writes settings that a gateway doesn't read: such unknown keys are reported on
standard error and are no errors.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if err := checkFile(cmd, data); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		},
	}
}

// checkFile validates a configuration or the settings of a gateway.
func checkFile(cmd *cobra.Command, data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		_, err := config.Parse(data)
		return err
	}
	unknownKeys, err := platform.CheckSettings(data)
	for _, path := range unknownKeys {
		cmd.PrintErrf("%s: %s, ignored\n", path, strict.UnknownKey)
	}
	return err
}

// defaultPublishWait is how long config publish waits for the outcome by default.
const defaultPublishWait = 10 * time.Second

// newPublishCommand returns the command that publishes a configuration.
func newPublishCommand() *cobra.Command {
	var logURL string
	var p publisher
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration, or a merge patch to the current one",
		Long: `Publish a configuration, or a merge patch to the current one.

Exit status 0 means accepted, 1 not published, 3 refused (another publish came
first, or the result is not valid), and 4 that the outcome is not known yet: use
config outcome to query it.`,
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
	cmd.Flags().Uint64Var(&p.base, "base", 0, "offset of the configuration that FILE is based on; 0 for the current one")
	cmd.Flags().DurationVar(&p.wait, "wait", defaultPublishWait, "timeout for determining the outcome")
	return cmd
}

// newOutcomeCommand returns the command that queries the outcome of a publish.
func newOutcomeCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "outcome NONCE",
		Short: "Query the outcome of an earlier publish by its nonce",
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

// newRestoreCommand returns the command that restores a configuration that the log
// has lost.
func newRestoreCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "restore FILE",
		Short: "Restore the configuration in a log that has lost it",
		Long: `Restore the configuration in a log that has lost it, which happens if no entry
runs for longer than the log retains records. A log that still has a
configuration is not changed.`,
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

// newShowCommand returns the command that prints the configuration.
func newShowCommand() *cobra.Command {
	var logURL string
	var upTo uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration, and its offset to standard error",
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
	cmd.Flags().Uint64Var(&upTo, "at", 0, "offset up to which the log is read; 0 for its end")
	return cmd
}

// newDiffCommand returns the command that compares two configurations.
func newDiffCommand() *cobra.Command {
	var logURL string
	var from, to uint64
	cmd := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Print the merge patch from one configuration to another",
		Long: `Print the merge patch from the configuration in effect at one offset to FILE, or
to the configuration in effect at another offset.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := plat.NewHTTPLog(logURL)
			oldFold, err := replayConfig(cmd.Context(), log, from)
			if err != nil {
				return err
			}
			newDocument, err := readDocument(cmd.Context(), log, to, args)
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
	cmd.Flags().Uint64Var(&from, "from", 0, "offset of the old configuration; 0 for the current one")
	cmd.Flags().Uint64Var(&to, "to", 0, "offset of the new configuration if FILE is not given; 0 for the current one")
	return cmd
}

// readDocument returns the configuration in the file that args name, or else the one in
// effect at an offset of the log.
func readDocument(ctx context.Context, log plat.Log, offset uint64, args []string) ([]byte, error) {
	if len(args) == 1 {
		return os.ReadFile(args[0])
	}
	fold, err := replayConfig(ctx, log, offset)
	if err != nil {
		return nil, err
	}
	return fold.Raw, nil
}

// printJSON prints a JSON value with indentation.
func printJSON(cmd *cobra.Command, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout(), out.String())
	return err
}

// addLogFlag adds the required flag --log.
func addLogFlag(cmd *cobra.Command, logURL *string) {
	cmd.Flags().StringVar(logURL, "log", "", "base URL of the log")
	_ = cmd.MarkFlagRequired("log") // fails only if the flag is undefined
}
