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

// errStepFailed reports that a step of the demo came out wrong.
var errStepFailed = errors.New("a step came out wrong")

// newDemoCommand returns the command that runs a small fleet in one process.
func newDemoCommand() *cobra.Command {
	var hold, logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete small fleet and show what it does",
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
				err = demo.Print(f, cmd.OutOrStdout())
				<-ctx.Done()
			} else {
				err = runDemo(ctx, f, cmd.OutOrStdout())
			}
			return errors.Join(err, f.Stop())
		},
	}
	cmd.Flags().BoolVar(&hold, "hold", false, "keep the fleet running until interrupted, and print its addresses")
	cmd.Flags().BoolVar(&logs, "logs", false, "print the logs of the fleet")
	return cmd
}

func runDemo(ctx context.Context, f *demo.Fleet, out io.Writer) error {
	passed, err := demo.Run(ctx, f, out)
	if err == nil && !passed {
		return errStepFailed
	}
	return err
}
