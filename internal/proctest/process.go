package proctest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// maxLogLines bounds the captured log of a process. The oldest lines are dropped.
const maxLogLines = 4000

// failureLogLines is the number of lines of each process that a failed test prints.
const failureLogLines = 40

// Process is a program that a test has started.
type Process struct {
	Name string

	t         testing.TB
	cmd       *exec.Cmd
	firstLine chan string // the first line of standard output
	exited    chan struct{}

	mu    sync.Mutex
	lines []string
	// readMu is held while the reading of the outputs is suspended.
	readMu sync.Mutex
}

// StartProcess starts a program. The process is killed at the end of the test and when the test binary exits.
func StartProcess(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	path, err := programs[program]()
	if err != nil {
		t.Fatal(err)
	}
	return start(t, name, exec.Command(path, args...))
}

// StartLimited starts a program that may hold at most the given number of open descriptors.
func StartLimited(t testing.TB, name, program string, descriptors int, args ...string) *Process {
	t.Helper()
	path, err := programs[program]()
	if err != nil {
		t.Fatal(err)
	}
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return start(t, name, exec.Command("sh", append([]string{"-c", limit, path}, args...)...))
}

func start(t testing.TB, name string, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, cmd: cmd, firstLine: make(chan string, 1), exited: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", name, err)
	}
	var readers sync.WaitGroup
	readers.Go(func() { p.capture(stdout, p.firstLine) })
	readers.Go(func() { p.capture(stderr, nil) })
	go func() {
		readers.Wait()
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.stop)
	return p
}

func (p *Process) capture(r io.Reader, first chan<- string) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if first != nil {
			first <- scanner.Text()
			first = nil
		}
		p.readMu.Lock()
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		if len(p.lines) > maxLogLines {
			p.lines = p.lines[len(p.lines)-maxLogLines:]
		}
		p.mu.Unlock()
		p.readMu.Unlock()
	}
}

func (p *Process) stop() {
	ended := "ended by the test's cleanup"
	if p.Running() {
		p.Signal(syscall.SIGKILL)
		<-p.exited
	} else {
		ended = "ended before: " + p.cmd.ProcessState.String()
	}
	if p.t.Failed() {
		p.t.Logf("%s %s", p.Name, ended)
		lines := p.Log()
		p.t.Logf("last lines of the log of %s:\n%s", p.Name, strings.Join(lines[max(0, len(lines)-failureLogLines):], "\n"))
	}
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns the captured lines of standard output and standard error.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && p.Running() {
		p.t.Errorf("sending signal %v to %s: %v", s, p.Name, err)
	}
}

// StopReading suspends the reading of the process's outputs until resume is called, so that its pipes fill up.
func (p *Process) StopReading() (resume func()) {
	p.readMu.Lock()
	return p.readMu.Unlock
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Pause stops the process with SIGSTOP until Resume is called.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and returns the exit code. It returns an error if the process is still running after the
// timeout.
func (p *Process) Terminate(timeout time.Duration) (int, error) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s is still running %v after SIGTERM", p.Name, timeout)
	}
}

// readFirstLine waits for the first line of standard output.
func (p *Process) readFirstLine(timeout time.Duration) (string, error) {
	select {
	case line := <-p.firstLine:
		return line, nil
	case <-p.exited:
		return "", errors.New(p.Name + " exited before it printed a line")
	case <-time.After(timeout):
		return "", fmt.Errorf("%s printed nothing within %v", p.Name, timeout)
	}
}
