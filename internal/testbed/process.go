// Package testbed starts the programs of this repository as processes on the
// loopback interface. Failure tests can kill and suspend the processes and cut the
// connections between them.
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

// startTimeout bounds the time until a started process prints its addresses.
// It only bounds failing tests.
const startTimeout = 30 * time.Second

// maxLineBytes bounds a line of output.
const maxLineBytes = 1 << 20

// Build compiles the named commands in cmd/ into dir. root is the root directory
// of the repository.
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

// Process is a started program.
type Process struct {
	Name string
	// Ready holds the fields of the JSON line that the program prints or logs once
	// it listens; they include its addresses.
	Ready map[string]string

	cmd       *exec.Cmd
	exited    chan struct{}
	mu        sync.Mutex
	output    bytes.Buffer
	suspended bool
}

// Start starts a program and waits until it has printed the JSON line with its
// addresses.
func Start(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	// The kernel kills the program when the test process ends, even if the test process
	// is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	err = p.cmd.Start()
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	ready := make(chan map[string]string, 1)
	go p.readOutput(reader, ready)
	select {
	case p.Ready = <-ready:
		return p, nil
	case <-p.exited:
	case <-time.After(startTimeout):
		p.Kill()
	}
	return nil, fmt.Errorf("%s did not start: %s", name, p.Output())
}

// readOutput records the output of the program until it exits, and sends the fields
// of the first line with addresses to ready.
func (p *Process) readOutput(output io.ReadCloser, ready chan<- map[string]string) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLineBytes)
	sent := false
	for scanner.Scan() {
		p.appendOutput(scanner.Bytes())
		if fields := addressFields(scanner.Bytes()); fields != nil && !sent {
			ready <- fields
			sent = true
		}
	}
	_ = output.Close()
	_ = p.cmd.Wait()
	close(p.exited)
}

// addressFields returns the fields of a JSON line with addresses, or nil for other
// lines.
func addressFields(line []byte) map[string]string {
	fields := map[string]any{}
	if json.Unmarshal(line, &fields) != nil {
		return nil
	}
	if fields["address"] == nil && fields["callers"] == nil {
		return nil
	}
	texts := map[string]string{}
	for key, value := range fields {
		texts[key] = fmt.Sprint(value)
	}
	return texts
}

func (p *Process) appendOutput(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output.Write(line)
	p.output.WriteByte('\n')
}

// Output returns what the program has printed to standard output and standard error.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP, true) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Terminate sends SIGTERM, which makes an entry shut down gracefully.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// ReloadSettings sends SIGHUP, which makes a program that supports it reload its settings.
func (p *Process) ReloadSettings() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *Process) signal(signal syscall.Signal, suspended bool) {
	if p.cmd.Process.Signal(signal) == nil {
		p.suspended = suspended
	}
}

// Wait waits for the process to exit and returns its exit code, or an error after
// the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, errors.New(p.Name + " is still running")
	}
}

// Stop kills the process, suspended or not, and waits for it to exit.
func (p *Process) Stop() {
	if p.suspended {
		p.Resume()
	}
	p.Kill()
}

// CPUTime returns the CPU time of the process, in user and kernel mode.
func (p *Process) CPUTime() (time.Duration, error) {
	return cpuTime(p.cmd.Process.Pid)
}

// ResidentBytes returns the resident set size of the process.
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

// clockTicksPerSecond is the resolution of CPU times in /proc; it is 100 on every
// Linux architecture that Go supports.
const clockTicksPerSecond = 100

func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// In /proc/PID/stat, the first field after the closing parenthesis of the command
	// is number 3.
	rest := raw[bytes.LastIndexByte(raw, ')')+1:]
	fields := bytes.Fields(rest)
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	var user, system int64
	if _, err := fmt.Sscan(string(fields[utime]), &user); err != nil {
		return 0, err
	}
	if _, err := fmt.Sscan(string(fields[stime]), &system); err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}
