// Package process starts the processes of a laboratory site, waits until they
// are ready and ends them: by planned stop, by kill, or frozen for a while.
// Only the laboratory uses it; stepseamd starts no process.
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

// ReadyPrefix begins the line that a stand-in prints once it listens; the
// address follows.
const ReadyPrefix = "ready "

// ErrStillRunning tells that a process did not end in time and was killed.
var ErrStillRunning = errors.New("process: did not end in time")

// Command says what to start.
type Command struct {
	// Name is the process's name in messages and of its log file.
	Name string
	// Program is the path of the executable.
	Program   string
	Arguments []string
	// LogDirectory takes a file with all that the process writes.
	LogDirectory string
}

// Process is one started process.
type Process struct {
	name    string
	logPath string
	command *exec.Cmd
	// ready gets the address of the first ready line.
	ready chan netip.AddrPort
	// done is closed once the process has ended; err is set before.
	done chan struct{}
	err  error
}

// starts carries the starting of processes to a thread that never ends, as the
// kernel ties a child's life to the thread that made it.
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

// Start starts a process. Its output goes to a file named after it, which
// repeated starts of one name share.
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
	go process.follow(output, log)
	return process, nil
}

// follow copies the process's output to its log until it ends.
func (p *Process) follow(output io.Reader, log *os.File) {
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

// Name returns the name it was started under.
func (p *Process) Name() string { return p.name }

// ID returns the process's number.
func (p *Process) ID() int { return p.command.Process.Pid }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ready returns the address that the process says it listens at.
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

// ended returns how the process ended; only after done.
func (p *Process) ended() error {
	if p.err == nil {
		return errors.New("exit status 0")
	}
	return p.err
}

// Stop asks the process to end (SIGTERM) and waits. It returns an error if the
// process ends with another status than 0, or not within patience; then it is
// killed.
func (p *Process) Stop(patience time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%w: %s, within %v\n%s", ErrStillRunning, p.name, patience, p.LogTail())
	}
	if p.err != nil {
		return fmt.Errorf("process: %s stopped with %w\n%s", p.name, p.err, p.LogTail())
	}
	return nil
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Freeze stops the process's work (SIGSTOP) until Thaw.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on (SIGCONT).
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

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

// crashMarks are what the language's runtime writes when a program is broken.
var crashMarks = []string{"panic: ", "panic serving", "fatal error: ", "DATA RACE"}

// Crash returns the first line of the process's output that tells of a panic,
// a fatal error or a data race, or nothing.
func (p *Process) Crash() string {
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

// logTailBytes is how much of a log goes into an error.
const logTailBytes = 4 << 10

// LogTail returns the end of what the process wrote.
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
