package cmds

import (
	"cmp"
	"errors"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dogwoodfold/internal/strict"
)

// roleSettings are the settings of a process in one of the roles, entry or agent.
type roleSettings interface {
	// check adds the errors in the settings and sets defaults.
	check(*strict.FieldErrors)
	// run runs the process until it is shut down.
	run(*cobra.Command) error
}

// newRoleCommand returns a command that runs a process with the settings of a file.
func newRoleCommand(name, short string, settings roleSettings) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readSettings(file, settings); err != nil {
				return err
			}
			return settings.run(cmd)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings") // fails only if the flag is undefined
	return cmd
}

// readSettings decodes and validates a settings file. It reports all errors at
// once.
func readSettings(file string, settings roleSettings) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var fieldErrs strict.FieldErrors
	if err := strict.Decode(data, settings); err != nil && !errors.As(err, &fieldErrs) {
		return err
	}
	settings.check(&fieldErrs)
	return fieldErrs.Err()
}

// checkNotEmpty adds an error if a setting is missing.
func checkNotEmpty(path, value string, fieldErrs *strict.FieldErrors) {
	if value == "" {
		fieldErrs.Add(path, "is missing")
	}
}

// checkAddress adds an error unless a setting is an address with a port.
func checkAddress(path string, address netip.AddrPort, fieldErrs *strict.FieldErrors) {
	if !address.IsValid() {
		fieldErrs.Add(path, "is missing or not an IP address and port such as 10.0.0.1:8080")
	}
}

// checkDuration adds an error if a setting is negative.
func checkDuration(path string, d time.Duration, fieldErrs *strict.FieldErrors) {
	if d < 0 {
		fieldErrs.Add(path, "must not be negative")
	}
}

const (
	// defaultMemoryMB is the memory of a process whose settings name none, the size that
	// docs/CAPACITY.md gives a process for control.
	defaultMemoryMB = 256
	// minMemoryMB is the least memory with which a body of the greatest length is served.
	minMemoryMB = 128
)

// checkMemory adds an error if the memory is set and too small.
func checkMemory(mb int, fieldErrs *strict.FieldErrors) {
	if mb != 0 && mb < minMemoryMB {
		fieldErrs.Add("memoryMb", "must be at least %d", minMemoryMB)
	}
}

// memoryBytes returns the memory that a process may use.
func memoryBytes(mb int) int64 { return int64(cmp.Or(mb, defaultMemoryMB)) << 20 }

// checkURL adds an error unless a setting is the URL of an HTTP server.
func checkURL(path, value string, fieldErrs *strict.FieldErrors) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		fieldErrs.Add(path, "%q is not an http URL such as http://10.0.0.1:8080", value)
	}
}
