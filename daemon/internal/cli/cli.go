// Package cli reads the command line and runs the program.
package cli

// Run runs the program with the given arguments and returns its exit status.
func Run(_ []string) int {
	return 0
}
