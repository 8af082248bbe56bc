package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/edge"
	"dogwoodfold/platform"
)

const (
	// logBufferLines is how many log lines may be buffered before lines are
	// dropped.
	logBufferLines = 1000
	// gcPercent is the heap growth, in percent, that triggers a garbage
	// collection. It is below Go's default because the platform bills for peak
	// memory.
	gcPercent = 25
)

// newGatewayCommand returns the command that runs an entry on the users'
// platform.
func newGatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gateway",
		Short: "Run an entry that calls endpoints directly on the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsEnvVar)
			if path == "" {
				return fmt.Errorf("environment variable %s must be set to the path of the settings file", platform.SettingsEnvVar)
			}
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			return runGateway(cmd, settings)
		},
	}
}

// runGateway runs an entry with the settings until it is shut down.
func runGateway(cmd *cobra.Command, settings *platform.Settings) error {
	debug.SetGCPercent(gcPercent)
	logWriter := diode.NewWriter(cmd.OutOrStdout(), logBufferLines, 0, func(dropped int) {
		fmt.Fprintf(os.Stderr, "{\"message\":\"log: lines dropped\",\"dropped\":%d}\n", dropped)
	})
	defer func() { _ = logWriter.Close() }() // the process is exiting
	log := newLogger(logWriter, settings.Host)
	incarnation := newIncarnation()
	server := edge.New(settings, log, incarnation)
	log.Info().Str("zone", settings.Zone).Uint64("incarnation", incarnation).Msg("entry: starting")
	defer log.Info().Msg("entry: stopped")
	return serve(cmd, server, settings.GracePeriod, 0, func(ctx context.Context) error {
		go reloadOnSignal(ctx, server, log)
		return server.Run(ctx)
	})
}

// reloadOnSignal reloads the settings on each SIGHUP. If they can't be read, the
// current settings remain in effect.
func reloadOnSignal(ctx context.Context, server *edge.Server, log zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := platform.ReadSettings(os.Getenv(platform.SettingsEnvVar))
		if err != nil {
			log.Error().Err(err).Msg("entry: settings not reloaded")
			continue
		}
		server.Reload(settings)
		log.Info().Msg("entry: settings reloaded")
	}
}
