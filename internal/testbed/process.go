// Package testbed starts the programs of this repository as processes on the
// loopback interface, and kills, freezes and cuts them for failure tests.
package testbed

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the start of a process; a test that reaches it fails.
const startTimeout = 30 * time.Second

// Build compiles the named commands below cmd/ into dir. root is the root of
// the repository.
func Build(root, dir string, commands ...string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, command := range commands {
		args = append(args, "./cmd/"+command)
	}
	build := exec.Command("go", args...)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build %v: %w: %s", commands, err, out)
	}
	return nil
}

// Process is a running program.
type Process struct {
	Name string
	// Ready holds the fields of the JSON line that the program prints when it listens.
	Ready map[string]string

	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	output bytes.Buffer
	frozen bool
}

// Start runs a program and waits for its JSON line on standard output.
func Start(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	p.cmd.Stderr = writer{p}
	// The programs end with the test process, even if it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	ready := make(chan map[string]string, 1)
	go p.read(bufio.NewScanner(stdout), ready)
	select {
	case p.Ready = <-ready:
		return p, nil
	case <-p.exited:
	case <-time.After(startTimeout):
		p.Kill()
	}
	return nil, fmt.Errorf("%s did not start: %s", name, p.Output())
}

func (p *Process) read(lines *bufio.Scanner, ready chan<- map[string]string) {
	lines.Buffer(nil, 1<<20)
	told := false
	for lines.Scan() {
		_, _ = writer{p}.Write(append(bytes.Clone(lines.Bytes()), '\n'))
		if told {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(lines.Bytes(), &fields) != nil {
			continue
		}
		ready <- stringFields(fields)
		told = true
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func stringFields(fields map[string]any) map[string]string {
	out := map[string]string{}
	for key, value := range fields {
		out[key] = fmt.Sprint(value)
	}
	return out
}

type writer struct{ p *Process }

// Write appends to the output of the process.
func (w writer) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.output.Write(b)
}

// Output returns what the program has printed on both streams.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP, true) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Terminate asks the process to shut down.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *Process) signal(signal syscall.Signal, frozen bool) {
	if p.cmd.Process.Signal(signal) == nil {
		p.frozen = frozen
	}
}

// Wait returns the exit code, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, errors.New(p.Name + " is still running")
	}
}

// Stop ends the process, frozen or not, and waits for it.
func (p *Process) Stop() {
	if p.frozen {
		p.Resume()
	}
	p.Kill()
}

// Usage returns the processor time that the process has used.
func (p *Process) Usage() (time.Duration, error) {
	return processorTime(p.cmd.Process.Pid)
}

// ResidentBytes returns the resident memory of the process.
func (p *Process) ResidentBytes() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// clockTicks is the unit of processor time in /proc, per second; it is 100 on
// every Linux architecture that Go supports.
const clockTicks = 100

func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the command's closing parenthesis start with field 3.
	rest := raw[bytes.LastIndexByte(raw, ')')+1:]
	fields := bytes.Fields(rest)
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, errors.New("short /proc stat line")
	}
	var user, system int64
	if _, err := fmt.Sscan(string(fields[utime]), &user); err != nil {
		return 0, err
	}
	if _, err := fmt.Sscan(string(fields[stime]), &system); err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}
