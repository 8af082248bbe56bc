package cmds

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/edge"
	"dogwoodfold/internal/sighup"
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
	var file string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run an entry that calls endpoints directly on the platform",
		Long: "Run an entry that calls endpoints directly on the platform. Without --settings,\n" +
			"the environment variable " + platform.SettingsEnvVar + " names the settings file. SIGHUP reads it again.",
		Args:        cobra.NoArgs,
		Annotations: map[string]string{annotationReloads: "true"},
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := cmp.Or(file, os.Getenv(platform.SettingsEnvVar))
			if path == "" {
				return fmt.Errorf("the settings file must be named by --settings or the environment variable %s",
					platform.SettingsEnvVar)
			}
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			return runGateway(cmd, settings)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	return cmd
}

// runGateway runs an entry with the settings until it is shut down.
func runGateway(cmd *cobra.Command, settings *platform.Settings) error {
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(settings.MemoryBytes)
	logWriter := diode.NewWriter(cmd.OutOrStdout(), logBufferLines, 0, func(dropped int) {
		fmt.Fprintf(os.Stderr, "{\"message\":\"log: lines dropped\",\"dropped\":%d}\n", dropped)
	})
	defer func() { _ = logWriter.Close() }() // the process is exiting
	log := newLogger(logWriter, settings.Host)
	incarnation := newIncarnation()
	server := edge.New(settings, log, incarnation)
	log.Info().Str("zone", settings.Zone).Uint64("incarnation", incarnation).Msg("entry: starting")
	defer log.Info().Msg("entry: stopped")
	return serve(cmd, server, server.GracePeriod, 0, func(ctx context.Context) error {
		go reloadOnSignal(ctx, server, settings.Path, log)
		return server.Run(ctx)
	})
}

// setMemoryLimit makes the garbage collector work harder when the process comes near the
// memory that it may use. 0 stands for no limit.
func setMemoryLimit(bytes int64) {
	if heap := budget.Derive(bytes, 0).Heap; heap > 0 {
		debug.SetMemoryLimit(heap)
	}
}

// reloadOnSignal reloads the settings from a file on each SIGHUP. If they can't be read,
// the current settings remain in effect.
func reloadOnSignal(ctx context.Context, server *edge.Server, path string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup.Signals():
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("entry: settings not reloaded")
			continue
		}
		server.Reload(settings)
		log.Info().Msg("entry: settings reloaded")
	}
}
