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

// errDemo reports that a step of the demo came out wrong.
var errDemo = errors.New("a step came out wrong")

// newDemo returns the command that runs a small fleet in one process.
func newDemo() *cobra.Command {
	var hold, logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete small fleet and show what it does",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out := io.Discard
			if logs {
				out = cmd.ErrOrStderr()
			}
			f, err := demo.Start(ctx, zerolog.New(out).With().Timestamp().Logger())
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
	right, err := demo.Run(ctx, f, out)
	if err == nil && !right {
		return errDemo
	}
	return err
}
