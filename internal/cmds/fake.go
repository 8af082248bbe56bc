package cmds

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// fakeFlags holds the flags common to all fakes.
type fakeFlags struct {
	listen string
}

// newFakeCommand returns the commands that run fakes of the platform's services
// and of endpoints, for tests and experiments.
func newFakeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "fake",
		Short: "Run a fake of a platform service or an endpoint",
	}
	flags := &fakeFlags{}
	cmd.PersistentFlags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.AddCommand(newFakeLogCommand(flags), newFakeHostsCommand(flags), newFakeEngineCommand(flags),
		newFakeServiceCommand(flags), newFakeWeightsCommand(flags))
	return cmd
}

// newFakeLogCommand returns the command that runs a fake log.
func newFakeLogCommand(flags *fakeFlags) *cobra.Command {
	var retention time.Duration
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Run a fake log",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewLog(retention).Handler())
		},
	}
	cmd.Flags().DurationVar(&retention, "retention", 0, "how long records are retained; 0 retains them indefinitely")
	return cmd
}

// newFakeHostsCommand returns the command that runs a fake host list.
func newFakeHostsCommand(flags *fakeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "Run a fake host registry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewHosts().Handler())
		},
	}
}

// newFakeEngineCommand returns the command that runs a fake model engine.
func newFakeEngineCommand(flags *fakeFlags) *cobra.Command {
	settings := fakes.EngineSettings{}
	var models []string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a fake model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			residents, err := parseResidents(models)
			if err != nil {
				return err
			}
			settings.Residents = residents
			settings.Logger = newLogger(cmd.ErrOrStderr(), "fake engine")
			return flags.serve(cmd, fakes.NewEngine(settings).Handler())
		},
	}
	cmd.Flags().Int64Var(&settings.MemoryBytes, "memory", 80<<30, "accelerator memory in bytes")
	cmd.Flags().IntVar(&settings.Slots, "slots", 32, "maximum number of concurrent requests")
	cmd.Flags().BoolVar(&settings.ChecksFence, "checks-fence", false, "reject orders with a stale fencing number")
	cmd.Flags().DurationVar(&settings.LoadTime, "load-time", 0, "time to load weights")
	cmd.Flags().StringVar(&settings.WeightStoreURL, "weights", "", "base URL of the weight store")
	cmd.Flags().StringSliceVar(&models, "model", nil, "model that is loaded at startup, as MODEL/VERSION[:ADAPTER][=BYTES]")
	return cmd
}

// parseResidents parses the models that an engine has loaded at startup.
func parseResidents(specs []string) ([]plat.Resident, error) {
	var residents []plat.Resident
	for _, spec := range specs {
		r, err := parseResident(spec)
		if err != nil {
			return nil, err
		}
		residents = append(residents, r)
	}
	return residents, nil
}

// parseResident parses MODEL/VERSION[:ADAPTER][=BYTES].
func parseResident(spec string) (plat.Resident, error) {
	name, size, hasSize := strings.Cut(spec, "=")
	var memoryBytes int64
	if hasSize {
		var err error
		if memoryBytes, err = strconv.ParseInt(size, 10, 64); err != nil {
			return plat.Resident{}, err
		}
	}
	modelVersion, adapter, _ := strings.Cut(name, ":")
	model, version, ok := strings.Cut(modelVersion, "/")
	if !ok || model == "" || version == "" {
		return plat.Resident{}, fmt.Errorf("%q is not in the form MODEL/VERSION[:ADAPTER][=BYTES]", spec)
	}
	return plat.Resident{
		Model:       model,
		Version:     version,
		Adapter:     adapter,
		MemoryBytes: memoryBytes,
		Ready:       true,
	}, nil
}

// newFakeServiceCommand returns the command that runs a fake plain service.
func newFakeServiceCommand(flags *fakeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "service",
		Short: "Run a fake plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewService().Handler())
		},
	}
}

// newFakeWeightsCommand returns the command that runs a fake weight store.
func newFakeWeightsCommand(flags *fakeFlags) *cobra.Command {
	settings := fakes.WeightStoreSettings{}
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Run a fake weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewWeightStore(settings).Handler())
		},
	}
	cmd.Flags().Float64Var(&settings.LoadsPerSecond, "rate", 1, "maximum number of loads started per second")
	cmd.Flags().IntVar(&settings.Slots, "slots", 8, "number of concurrent loads that run at full speed")
	cmd.Flags().DurationVar(&settings.LoadTime, "load-time", 0, "duration of a load at full speed")
	return cmd
}

// serve prints the listen address and serves handler until the process is
// killed.
func (f *fakeFlags) serve(cmd *cobra.Command, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), "listen", listener.Addr()); err != nil {
		return err
	}
	server := &fasthttp.Server{
		Handler:               handler,
		Name:                  "fake",
		NoDefaultServerHeader: true,
	}
	return server.Serve(listener)
}
