// Command bulrushctl is the operators' command line.
package main

import (
	"os"

	"bulrushspoke/ctl/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
