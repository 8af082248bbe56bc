package cmds

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"dogwoodfold/pkg/config"
)

// newKeyCommand returns the commands that manage API keys.
func newKeyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Generate API keys for customers",
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Generate a key and print it with its digest for the configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := "dwf-" + rand.Text()
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "key %s\nentry {\"sha256\": %q}\n", key, config.DigestKey([]byte(key)))
			return err
		},
	})
	return cmd
}
