// Command bulrush-daemon manages the upstream servers of the instance that it runs on.
package main

import (
	"os"

	"bulrushspoke/daemon/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
