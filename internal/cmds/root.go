// Package cmds implements the program's command-line interface.
package cmds

import (
	"io"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"dogwoodfold/internal/sighup"
)

// annotationReloads marks the commands that reload their settings on SIGHUP.
const annotationReloads = "reloadsOnHangup"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "dogwoodfold",
		Short:         "Serve many models on few accelerators",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Annotations[annotationReloads] == "" {
				return sighup.Release()
			}
			return nil
		},
	}
	root.AddCommand(newEntryCommand(), newAgentCommand(), newGatewayCommand())
	root.AddCommand(newConfigCommand(), newEvacuateCommand(), newKeyCommand(), newFakeCommand(), newLoadCommand(), newDemoCommand(),
		newReportCommand(), newStatusCommand(), newExplainCommand(), newVersionCommand())
	addVersionFlag(root)
	return root
}

// logTimeFormat is the format of log timestamps, with millisecond precision.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that adds the time and the host to every line.
func newLogger(out io.Writer, host string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(out).With().Timestamp().Str("host", host).Logger()
}
