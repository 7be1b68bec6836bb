// Package rig starts the real programs and the stand-ins as separate processes on loopback ports, and ends them.
//
// # Usage
//
//	r := rig.New(bin, dir)
//	defer r.Close()
//	p, err := r.Start("store", "bulrush-standin", "store", "--listen", address)
//	err = p.Signal(syscall.SIGKILL)
//
// A Fleet is a whole deployment on a rig. Processes are ended by their own process id only, and the kernel ends them if
// the starting process dies.
package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pollPause = 20 * time.Millisecond
	tailBytes = 4000 // of a log that is shown after a failure
)

// Rig holds the processes of one test.
type Rig struct {
	bin string // folder of the programs
	dir string // folder of settings and logs

	mu        sync.Mutex
	processes map[string]*Process
}

// Process is one started program.
type Process struct {
	name    string
	program string
	log     string // file of standard error
	out     string // file of standard output
	cmd     *exec.Cmd
	done    chan struct{} // closed once it has ended
}

// New returns a rig without processes.
func New(bin, dir string) *Rig {
	return &Rig{bin: bin, dir: dir, processes: map[string]*Process{}}
}

// Dir returns the folder of settings and logs.
func (r *Rig) Dir() string { return r.dir }

// Start starts a program under a name that no running process of the rig has, with the environment of this process and
// an empty standard output.
func (r *Rig) Start(name, program string, args ...string) (*Process, error) {
	if err := os.Remove(filepath.Join(r.dir, name+".out")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return r.StartWith(nil, name, program, args...)
}

// StartWith starts a program with an environment of its own. Its standard output is added to <name>.out and its standard
// error to <name>.log.
func (r *Rig) StartWith(env []string, name, program string, args ...string) (*Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.processes[name]; ok && p.Running() {
		return nil, fmt.Errorf("rig: %s runs already", name)
	}
	base := filepath.Join(r.dir, name)
	p := &Process{name: name, log: base + ".log", out: base + ".out", program: program, done: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	out, err := os.OpenFile(p.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(r.bin, program), args...)
	p.cmd.Env = env
	p.cmd.Stdout = out
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait() // its status is read from ProcessState
		close(p.done)
	}()
	r.processes[name] = p
	return p, nil
}

// Build compiles programs of the repository at root into a folder; modules names the folder of each program's module.
func Build(root, bin string, modules map[string]string, flags ...string) error {
	for program, module := range modules {
		args := append([]string{"build", "-o", filepath.Join(bin, program)}, flags...)
		c := exec.Command("go", append(args, "./"+module)...)
		c.Dir = root
		if out, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("rig: build %s: %w\n%s", program, err, out)
		}
	}
	return nil
}

// Restart starts the program of a name that has ended once more, with the same arguments.
func (r *Rig) Restart(name string) error {
	p, err := r.Process(name)
	if err != nil {
		return err
	}
	_, err = r.StartWith(p.cmd.Env, name, p.program, p.cmd.Args[1:]...)
	return err
}

// Process returns the process started last under a name.
func (r *Rig) Process(name string) (*Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.processes[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("rig: no process %q", name)
}

// Close kills all processes and waits for their ends.
func (r *Rig) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range r.processes {
		<-p.done
	}
}

// Logs returns the ends of all logs that are not empty.
func (r *Rig) Logs() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := ""
	for name, p := range r.processes {
		if t := p.Tail(); t != "" {
			text += fmt.Sprintf("--- %s (running: %t)\n%s\n", name, p.Running(), t)
		}
	}
	return text
}

// Logged reports whether a text is in any log.
func (r *Rig) Logged(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if log, err := p.Log(); err == nil && strings.Contains(string(log), text) {
			return true
		}
	}
	return false
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process; after its end it does nothing.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	return nil
}

// Wait waits for the end of the process and returns its exit status.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("rig: %s still runs: %w", p.name, ctx.Err())
	}
}

// Output returns what the process has written to its standard output.
func (p *Process) Output() ([]byte, error) { return os.ReadFile(p.out) }

// Log returns what all processes of this name have written to their standard error.
func (p *Process) Log() ([]byte, error) { return os.ReadFile(p.log) }

// Tail returns the end of the log.
func (p *Process) Tail() string {
	f, err := os.Open(p.log)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	if s, err := f.Stat(); err == nil && s.Size() > tailBytes {
		if _, err := f.Seek(-tailBytes, io.SeekEnd); err != nil {
			return err.Error()
		}
	}
	text, err := io.ReadAll(f)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Poll calls f until it returns nil or the context ends, and then returns the last error.
func Poll(ctx context.Context, what string, f func(ctx context.Context) error) error {
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rig: waiting for %s: %w", what, err)
		case <-time.After(pollPause):
		}
	}
}

// Size returns the number of running processes.
func (r *Rig) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.processes {
		if p.Running() {
			n++
		}
	}
	return n
}
