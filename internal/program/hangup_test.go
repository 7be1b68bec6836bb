package program_test

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"bulrushspoke/internal/program"
)

// startupEnv has the test binary run a program that starts until its standard input ends.
const startupEnv = "TEST_STARTUP"

// TestMain runs the tests, or the program that TestHangupDuringStartup starts.
func TestMain(m *testing.M) {
	if os.Getenv(startupEnv) == "" {
		os.Exit(m.Run())
	}
	os.Exit(program.Main("test", []string{"--platform"}, program.Loaders{Platform: func() (program.Serve, error) {
		_, _ = os.Stdout.WriteString("starting\n")
		_, _ = io.Copy(io.Discard, os.Stdin)
		return func(context.Context, io.Writer) error { return nil }, nil
	}}))
}

// Guards against a process that ends because its settings change while it reads them for the first time.
func TestHangupDuringStartup(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, os.Args[0])
	c.Env = append(os.Environ(), startupEnv+"=1")
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_ = in.Close()
	if err := c.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}
