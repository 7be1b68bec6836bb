// Command bulrushctl is the command-line client for operators.
package main

import (
	"os"

	"bulrushspoke/ctl/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
