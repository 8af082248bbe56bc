package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/admin"
)

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

// stopTimeout returns the timeout of a graceful shutdown, which may change with the settings.
// 0 stands for defaultStopTimeout.
type stopTimeout func() time.Duration

// fixedTimeout returns a timeout that doesn't change.
func fixedTimeout(timeout time.Duration) stopTimeout { return func() time.Duration { return timeout } }

// serve runs a server and shuts it down on SIGINT or SIGTERM. The first signal
// starts a graceful shutdown; a second one or the timeout aborts it. After a
// completed shutdown, sessions stay open for closeDelay.
func serve(cmd *cobra.Command, s server, timeout stopTimeout, closeDelay time.Duration, run func(context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	go stopOnSignal(cancel, s, timeout, closeDelay, signals)
	return run(ctx)
}

// stopOnSignal starts a graceful shutdown on the first signal and calls cancel
// once the shutdown is over.
func stopOnSignal(
	cancel context.CancelFunc, s server, timeout stopTimeout, closeDelay time.Duration, signals <-chan os.Signal,
) {
	defer cancel()
	select {
	case <-signals:
		s.Stop()
	case <-s.Done():
		return
	}
	awaitShutdown(s, timeout, closeDelay, signals)
}

// awaitShutdown waits until a graceful shutdown that has just begun is over, a further signal
// comes or the timeout has passed, which settings that are read meanwhile may change.
func awaitShutdown(s server, timeout stopTimeout, closeDelay time.Duration, signals <-chan os.Signal) {
	for began := time.Now(); ; {
		left := cmp.Or(timeout(), defaultStopTimeout) - time.Since(began)
		if left <= 0 {
			return
		}
		select {
		case <-signals:
			return
		case <-s.Finished():
			time.Sleep(closeDelay)
			return
		case <-s.Done():
			return
		case <-time.After(left):
		}
	}
}

// runWithAdmin runs a server together with its admin interface until the server
// ends.
func runWithAdmin(
	ctx context.Context, address netip.AddrPort, cmd *cobra.Command,
	adminServer *admin.Server, run func(context.Context) error,
) error {
	listener, err := listen(cmd, "admin", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	adminErr := make(chan error, 1)
	go func() { adminErr <- adminServer.Run(ctx, listener) }()
	err = run(ctx)
	cancel()
	return errors.Join(err, <-adminErr)
}

// newIncarnation returns a random number that identifies this run of a process. It
// is never 0, which means no incarnation.
func newIncarnation() uint64 { return rand.Uint64() | 1 }
