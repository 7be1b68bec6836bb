// Command bulrush-standin holds small stand-ins of outside systems, for tests and the demo.
package main

import (
	"os"

	"bulrushspoke/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
