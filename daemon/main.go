// Command bulrush-daemon runs beside an upstream instance and serves its servers.
package main

import (
	"os"

	"bulrushspoke/daemon/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
