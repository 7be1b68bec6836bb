// Command bulrush-standin simulates the external systems of the service, one per subcommand, for tests and the demo.
package main

import (
	"os"

	"bulrushspoke/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
