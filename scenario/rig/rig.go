// Package rig runs the real programs and the stand-ins as separate processes on loopback ports.
//
// # Usage
//
//	r := rig.New(bin, dir)
//	defer r.Close()
//	p, err := r.Start("store", "bulrush-standin", "store", "--listen", address)
//	err = p.Signal(syscall.SIGKILL)
//
// A Fleet is a complete deployment on a rig. Signals go to the process ids of the rig's own processes only, and the
// kernel kills these processes if the process that started them dies.
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
	pollInterval = 20 * time.Millisecond
	tailBytes    = 4000 // of a log that Tail returns
)

// Rig holds the processes of one test.
type Rig struct {
	binDir string // directory of the programs
	dir    string // directory of settings and logs

	mu        sync.Mutex
	processes map[string]*Process
}

// Process is one started program.
type Process struct {
	name    string
	program string
	logPath string // file of standard error
	outPath string // file of standard output
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has exited
}

// New returns a rig without processes.
func New(bin, dir string) *Rig {
	return &Rig{binDir: bin, dir: dir, processes: map[string]*Process{}}
}

// Dir returns the directory of settings and logs.
func (r *Rig) Dir() string { return r.dir }

// Start starts a program with the environment of this process and discards the standard output of an earlier process of
// that name. It fails if a process of that name is running.
func (r *Rig) Start(name, program string, args ...string) (*Process, error) {
	if err := os.Remove(filepath.Join(r.dir, name+".out")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return r.StartWith(nil, name, program, args...)
}

// StartWith starts a program with the environment env, or that of this process if env is nil. It appends the standard
// output to <name>.out and the standard error to <name>.log. It fails if a process of that name is running.
func (r *Rig) StartWith(env []string, name, program string, args ...string) (*Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.processes[name]; ok && p.Running() {
		return nil, fmt.Errorf("rig: %s is already running", name)
	}
	base := filepath.Join(r.dir, name)
	p := &Process{name: name, logPath: base + ".log", outPath: base + ".out", program: program, exited: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	out, err := os.OpenFile(p.outPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(r.binDir, program), args...)
	p.cmd.Env = env
	p.cmd.Stdout = out
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait() // the exit status is read from ProcessState
		close(p.exited)
	}()
	r.processes[name] = p
	return p, nil
}

// Build compiles programs of the repository at root into the directory bin. The map modules holds the module directory
// of each program, relative to root.
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

// Restart starts the program of an exited process again, with the same arguments and environment.
func (r *Rig) Restart(name string) error {
	p, err := r.Process(name)
	if err != nil {
		return err
	}
	_, err = r.StartWith(p.cmd.Env, name, p.program, p.cmd.Args[1:]...)
	return err
}

// Process returns the process started last under a name, whether or not it is running.
func (r *Rig) Process(name string) (*Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.processes[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("rig: no process %q", name)
}

// Close kills all processes and waits until they have exited.
func (r *Rig) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range r.processes {
		<-p.exited
	}
}

// Logs returns the tail of each log that is not empty.
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

// LogsContain reports whether any log contains a text.
func (r *Rig) LogsContain(text string) bool {
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

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	return nil
}

// Wait waits until the process exits and returns its exit status.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("rig: %s is still running: %w", p.name, ctx.Err())
	}
}

// Output returns the standard output of the process.
func (p *Process) Output() ([]byte, error) { return os.ReadFile(p.outPath) }

// Log returns the standard error of all processes that were started under this name.
func (p *Process) Log() ([]byte, error) { return os.ReadFile(p.logPath) }

// Tail returns the last tailBytes of the log, or the error that reading it gave.
func (p *Process) Tail() string {
	f, err := os.Open(p.logPath)
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

// Poll calls f every pollInterval until it returns nil or ctx is done. In the second case it returns the last error of
// f.
func Poll(ctx context.Context, what string, f func(ctx context.Context) error) error {
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rig: waiting for %s: %w", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// CountRunning returns the number of running processes.
func (r *Rig) CountRunning() int {
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
