package cmds

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// unknownVersion stands for what the build's information doesn't tell.
const unknownVersion = "unknown"

// newVersionCommand returns the command that prints the version.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version, the commit and the Go version of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(cmd.OutOrStdout(), currentVersion())
			return err
		},
	}
}

// addVersionFlag adds the flag --version, which prints the same as the version command.
func addVersionFlag(root *cobra.Command) {
	root.Version = currentVersion()
	root.SetVersionTemplate("{{.Version}}")
}

// currentVersion describes the build of this program.
func currentVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{GoVersion: runtime.Version()}
	}
	return versionText(info)
}

// versionText returns the version, the commit and the Go version of a build, one a line.
func versionText(info *debug.BuildInfo) string {
	version, commit := info.Main.Version, unknownVersion
	if version == "" {
		version = unknownVersion
	}
	modified := ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " (modified)"
		}
	}
	return fmt.Sprintf("version %s\ncommit %s%s\ngo %s\n", version, commit, modified, info.GoVersion)
}
