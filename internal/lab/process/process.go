// Package process starts the processes of a laboratory site, waits until they are
// ready, and stops, kills or pauses them. stepseamd doesn't use it.
package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ReadyPrefix starts the line that an emulator prints once it listens, followed by
// its address.
const ReadyPrefix = "ready "

// ErrStillRunning is returned by Stop if the process did not end within the timeout
// and was killed.
var ErrStillRunning = errors.New("process: did not end in time")

// Command describes a process to start.
type Command struct {
	// Name is used in messages and for the log file.
	Name string
	// Program is the path of the executable.
	Program   string
	Arguments []string
	// LogDirectory is where the log file with the process's output is created.
	LogDirectory string
}

// Process is a started process.
type Process struct {
	name    string
	logPath string
	command *exec.Cmd
	// ready receives the address of the first ready line.
	ready chan netip.AddrPort
	// done is closed when the process has ended; err is set before that.
	done chan struct{}
	err  error
}

// starts passes the starts of processes to a thread that never ends, because the
// parent-death signal refers to the thread that started the child.
var (
	starts    = make(chan func())
	startOnce sync.Once
)

func onStarter(start func() error) error {
	startOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for next := range starts {
				next()
			}
		}()
	})
	result := make(chan error, 1)
	starts <- func() { result <- start() }
	return <-result
}

// Start starts a process. Its output is appended to the log file of its name, which
// processes of the same name share.
func Start(command Command) (*Process, error) {
	logPath := filepath.Join(command.LogDirectory, command.Name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("process: %s: %w", command.Name, err)
	}
	started := exec.Command(command.Program, command.Arguments...)
	started.SysProcAttr = attributes()
	started.Stderr = log
	output, err := started.StdoutPipe()
	if err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("process: %s: %w", command.Name, err)
	}
	if err := onStarter(started.Start); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("process: %s: %w", command.Name, err)
	}
	process := &Process{
		name: command.Name, logPath: logPath, command: started,
		ready: make(chan netip.AddrPort, 1), done: make(chan struct{}),
	}
	go process.copyOutput(output, log)
	return process, nil
}

// copyOutput copies the process's standard output to its log and passes on the ready
// address, until the process ends.
func (p *Process) copyOutput(output io.Reader, log *os.File) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		_, _ = fmt.Fprintln(log, lines.Text())
		text, found := strings.CutPrefix(lines.Text(), ReadyPrefix)
		address, err := netip.ParseAddrPort(text)
		if !found || err != nil {
			continue
		}
		select {
		case p.ready <- address:
		default:
		}
	}
	p.err = p.command.Wait()
	_ = log.Close()
	close(p.done)
}

// Name returns the name from the Command.
func (p *Process) Name() string { return p.name }

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ready waits for the ready line of the process and returns its address. The address
// is delivered to one caller only.
func (p *Process) Ready(ctx context.Context) (netip.AddrPort, error) {
	select {
	case address := <-p.ready:
		return address, nil
	case <-p.done:
		return netip.AddrPort{}, fmt.Errorf("process: %s ended before it was ready: %w\n%s", p.name, p.ended(), p.LogTail())
	case <-ctx.Done():
		return netip.AddrPort{}, fmt.Errorf("process: %s is not ready: %w\n%s", p.name, ctx.Err(), p.LogTail())
	}
}

// ended returns the exit status as an error. It must be called after done is closed.
func (p *Process) ended() error {
	if p.err == nil {
		return errors.New("exit status 0")
	}
	return p.err
}

// Stop sends SIGTERM and waits for the process to end. It returns an error if the
// exit status is not 0, or if the process doesn't end within timeout and has to be
// killed.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%w: %s, within %v\n%s", ErrStillRunning, p.name, timeout, p.LogTail())
	}
	if p.err != nil {
		return fmt.Errorf("process: %s stopped with %w\n%s", p.name, p.err, p.LogTail())
	}
	return nil
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) error {
	select {
	case <-p.done:
		return fmt.Errorf("process: %s has ended already: %w\n%s", p.name, p.ended(), p.LogTail())
	default:
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("process: %s: %v: %w", p.name, signal, err)
	}
	return nil
}

// crashMarks occur in the output of a Go program after a panic, a fatal error or a
// data race.
var crashMarks = []string{"panic: ", "panic serving", "fatal error: ", "DATA RACE"}

// CrashLine returns the first line of the process's output that reports a panic, a fatal
// error or a data race, or an empty string.
func (p *Process) CrashLine() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(content)) {
		for _, mark := range crashMarks {
			if strings.Contains(line, mark) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}

// logTailBytes bounds the part of a log that errors include.
const logTailBytes = 4 << 10

// LogTail returns the end of the process's log.
func (p *Process) LogTail() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	if len(content) > logTailBytes {
		content = content[len(content)-logTailBytes:]
	}
	return "last output of " + p.name + ":\n" + string(content)
}
