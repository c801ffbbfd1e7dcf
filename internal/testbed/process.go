// Package testbed starts the programs of this repository as processes on the
// loopback interface, and kills, freezes and cuts them for failure tests.
package testbed

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the start of a process; a test that reaches it fails.
const startTimeout = 30 * time.Second

// maxLine bounds a line of output in bytes.
const maxLine = 1 << 20

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
	// Ready holds the fields of the JSON line with the addresses that the
	// program prints or logs when it listens.
	Ready map[string]string

	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	output bytes.Buffer
	frozen bool
}

// Start runs a program and waits for its JSON line with the addresses.
func Start(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	// The programs end with the test process, even if it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, input, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = input, input
	err = p.cmd.Start()
	_ = input.Close()
	if err != nil {
		_ = output.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	ready := make(chan map[string]string, 1)
	go p.read(output, ready)
	select {
	case p.Ready = <-ready:
		return p, nil
	case <-p.exited:
	case <-time.After(startTimeout):
		p.Kill()
	}
	return nil, fmt.Errorf("%s did not start: %s", name, p.Output())
}

func (p *Process) read(output io.ReadCloser, ready chan<- map[string]string) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLine)
	told := false
	for lines.Scan() {
		p.record(lines.Bytes())
		if fields := addressFields(lines.Bytes()); fields != nil && !told {
			ready <- fields
			told = true
		}
	}
	_ = output.Close()
	_ = p.cmd.Wait()
	close(p.exited)
}

// addressFields returns the fields of a line that names addresses, or nil.
func addressFields(line []byte) map[string]string {
	fields := map[string]any{}
	if json.Unmarshal(line, &fields) != nil {
		return nil
	}
	if fields["address"] == nil && fields["callers"] == nil {
		return nil
	}
	out := map[string]string{}
	for key, value := range fields {
		out[key] = fmt.Sprint(value)
	}
	return out
}

func (p *Process) record(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output.Write(line)
	p.output.WriteByte('\n')
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

// HangUp asks the process to read its settings again.
func (p *Process) HangUp() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

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
