package cmds

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/demo"
)

// errStepFailed indicates that a step of the demo failed.
var errStepFailed = errors.New("a demo step failed")

// newDemoCommand returns the command that runs a small fleet in a single process.
func newDemoCommand() *cobra.Command {
	var hold, logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small but complete fleet and demonstrate its features",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			logWriter := io.Discard
			if logs {
				logWriter = cmd.ErrOrStderr()
			}
			f, err := demo.Start(ctx, zerolog.New(logWriter).With().Timestamp().Logger())
			if err != nil {
				return err
			}
			if hold {
				err = demo.Hold(ctx, f, cmd.OutOrStdout())
			} else {
				err = runDemo(ctx, f, cmd.OutOrStdout())
			}
			return errors.Join(err, f.Stop())
		},
	}
	cmd.Flags().BoolVar(&hold, "hold", false, "print the fleet's URLs and keep it running until interrupted")
	cmd.Flags().BoolVar(&logs, "logs", false, "print the logs of the fleet")
	return cmd
}

// runDemo runs the steps of the demo and returns errStepFailed if one failed.
func runDemo(ctx context.Context, f *demo.Fleet, out io.Writer) error {
	passed, err := demo.Run(ctx, f, out)
	if err == nil && !passed {
		return errStepFailed
	}
	return err
}
