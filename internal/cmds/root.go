// Package cmds implements the program's command-line interface.
package cmds

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "dogwoodfold",
		Short:         "Serve many models on few accelerators",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEntryCommand(), newAgentCommand(), newGatewayCommand())
	root.AddCommand(newConfigCommand(), newKeyCommand(), newFakeCommand(), newLoadCommand(), newDemoCommand(),
		newReportCommand(), newStatusCommand())
	return root
}

// logTimeFormat is the format of log timestamps, with millisecond precision.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that adds the time and the host to every line.
func newLogger(out io.Writer, host string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(out).With().Timestamp().Str("host", host).Logger()
}

// server is a server that supports graceful shutdown.
type server interface {
	Stop()
	Finished() <-chan struct{}
	Done() <-chan struct{}
}

// defaultStopTimeout is the timeout of a graceful shutdown if the settings specify
// none.
const defaultStopTimeout = 10 * time.Minute

// sessionCloseDelay gives peers time to read the last responses before their
// sessions are closed.
const sessionCloseDelay = time.Second

// listen opens a TCP listener and prints its name and address.
func listen(cmd *cobra.Command, name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), name, listener.Addr())
	return listener, err
}

// serve runs a server and shuts it down on SIGINT or SIGTERM. The first signal
// starts a graceful shutdown; a second one or the timeout aborts it. After a
// completed shutdown, sessions stay open for closeDelay.
func serve(cmd *cobra.Command, s server, timeout, closeDelay time.Duration, run func(context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	go stopOnSignal(cancel, s, cmp.Or(timeout, defaultStopTimeout), closeDelay, signals)
	return run(ctx)
}

// stopOnSignal starts a graceful shutdown on the first signal and calls cancel
// once the shutdown is over.
func stopOnSignal(cancel context.CancelFunc, s server, timeout, closeDelay time.Duration, signals <-chan os.Signal) {
	defer cancel()
	select {
	case <-signals:
		s.Stop()
	case <-s.Done():
		return
	}
	select {
	case <-signals:
	case <-s.Finished():
		time.Sleep(closeDelay)
	case <-s.Done():
	case <-time.After(timeout):
	}
}
