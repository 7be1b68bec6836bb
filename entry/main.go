// Command bulrush-entry serves callers, trainers and operators over HTTP.
package main

import (
	"os"

	"bulrushspoke/entry/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
