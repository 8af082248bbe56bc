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

// fakeFlags are the flags that all fakes share.
type fakeFlags struct {
	listen string
}

// newFakeCommand returns the commands that run stand-ins for tests and trials.
func newFakeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "fake",
		Short: "Run a stand-in for the platform or an endpoint",
	}
	flags := &fakeFlags{}
	cmd.PersistentFlags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.AddCommand(newFakeLogCommand(flags), newFakeHostsCommand(flags), newFakeEngineCommand(flags), newFakeServiceCommand(flags), newFakeWeightsCommand(flags))
	return cmd
}

func newFakeLogCommand(flags *fakeFlags) *cobra.Command {
	var retention time.Duration
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Run a log",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewLog(retention).Handler())
		},
	}
	cmd.Flags().DurationVar(&retention, "retention", 0, "how long records are kept, 0 for ever")
	return cmd
}

func newFakeHostsCommand(flags *fakeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "Run a host list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewHosts().Handler())
		},
	}
}

func newFakeEngineCommand(flags *fakeFlags) *cobra.Command {
	settings := fakes.EngineSettings{}
	var models []string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, m := range models {
				r, err := parseResident(m)
				if err != nil {
					return err
				}
				settings.Residents = append(settings.Residents, r)
			}
			return flags.serve(cmd, fakes.NewEngine(settings).Handler())
		},
	}
	cmd.Flags().Int64Var(&settings.MemoryBytes, "memory", 80<<30, "accelerator memory in bytes")
	cmd.Flags().IntVar(&settings.Slots, "slots", 32, "requests that run at once")
	cmd.Flags().BoolVar(&settings.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	cmd.Flags().DurationVar(&settings.LoadTime, "load-time", 0, "how long weights take to load")
	cmd.Flags().StringVar(&settings.WeightStoreURL, "weights", "", "base URL of the weight store")
	cmd.Flags().StringSliceVar(&models, "model", nil, "MODEL/VERSION[:ADAPTER][=BYTES] loaded from the start")
	return cmd
}

// parseResident reads MODEL/VERSION[:ADAPTER][=BYTES].
func parseResident(text string) (plat.Resident, error) {
	name, size, hasSize := strings.Cut(text, "=")
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
		return plat.Resident{}, fmt.Errorf("%q is not MODEL/VERSION[:ADAPTER][=BYTES]", text)
	}
	return plat.Resident{
		Model:       model,
		Version:     version,
		Adapter:     adapter,
		MemoryBytes: memoryBytes,
		Ready:       true,
	}, nil
}

func newFakeServiceCommand(flags *fakeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "service",
		Short: "Run a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewService().Handler())
		},
	}
}

func newFakeWeightsCommand(flags *fakeFlags) *cobra.Command {
	settings := fakes.WeightStoreSettings{}
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Run a weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, fakes.NewWeightStore(settings).Handler())
		},
	}
	cmd.Flags().Float64Var(&settings.LoadsPerSecond, "rate", 1, "loads that begin in a second")
	cmd.Flags().IntVar(&settings.Slots, "slots", 8, "loads that run at full speed")
	cmd.Flags().DurationVar(&settings.LoadTime, "load-time", 0, "how long a load takes at full speed")
	return cmd
}

// serve runs a fake until the process is ended.
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
