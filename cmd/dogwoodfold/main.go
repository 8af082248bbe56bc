// Command dogwoodfold serves many models on few accelerators.
package main

import (
	"context"
	"fmt"
	"os"

	"dogwoodfold/internal/cmds"
)

func main() {
	if err := cmds.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodfold:", err)
		os.Exit(cmds.ExitStatus(err))
	}
}
