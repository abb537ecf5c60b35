package qhsite

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// stopGrace is how long a process may take to stop before it is killed.
const stopGrace = 5 * time.Second

// logMode is the mode of log and settings files.
const logMode = 0o600

// Process is a running program that the site started.
type Process struct {
	// ID is the id that the operating system gave.
	ID int
	// Log is the file with all that the program writes.
	Log  string
	cmd  *exec.Cmd
	out  *firstLine
	done chan struct{}
}

// start starts a program. It is stopped when the group ends.
func start(group *qhgroup.Group, dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "free the disk of temporary files", "can't write the log of %s", name)
	}
	p := &Process{Log: log.Name(), done: make(chan struct{}), out: newFirstLine(log)}
	p.cmd = exec.CommandContext(group.Context(), program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, log
	p.cmd.SysProcAttr = attributes()
	p.cmd.WaitDelay = stopGrace
	p.cmd.Cancel = func() error { return p.Terminate() }
	if err := p.cmd.Start(); err != nil {
		_ = log.Close() // the start has failed already
		return nil, qherr.New(qherr.BadInput, err, "build the programs first, by make build", "can't start %s", name)
	}
	p.ID = p.cmd.Process.Pid
	group.Go(func(context.Context) {
		_ = p.cmd.Wait() // the exit status is in cmd.ProcessState
		_ = log.Close()
		close(p.done)
	})
	return p, nil
}

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Status returns the exit status, or -1 while the process runs or where a
// signal ended it.
func (p *Process) Status() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Kill ends the process at once and waits until it has gone.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Terminate asks the process to stop gracefully, also one that is frozen.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Thaw()
}

// Freeze pauses the process.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a paused process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// address returns the address that a stand-in prints as its first line.
func (p *Process) address(ctx context.Context) (qhid.Address, error) {
	select {
	case line := <-p.out.line:
		var ready struct {
			Address qhid.Address `json:"address"`
		}
		if err := json.Unmarshal(line, &ready); err != nil {
			return "", qherr.New(qherr.Internal, err, "see "+p.Log, "the program printed no address")
		}
		return ready.Address, nil
	case <-p.done:
		return "", p.gone()
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// gone returns the error for a program that ended too soon.
func (p *Process) gone() error {
	text, _ := os.ReadFile(p.Log) // the error stands without it
	return qherr.New(qherr.Internal, nil, "see its log", "%s ended with status %d: %s", filepath.Base(p.cmd.Path), p.Status(), bytes.TrimSpace(text))
}

// firstLine passes all bytes on to a file and the first line also to line.
type firstLine struct {
	file *os.File
	line chan []byte

	mu   sync.Mutex
	buf  []byte
	sent bool
}

func newFirstLine(file *os.File) *firstLine {
	return &firstLine{file: file, line: make(chan []byte, 1)}
}

// Write implements io.Writer.
func (f *firstLine) Write(data []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.sent {
		f.buf = append(f.buf, data...)
		if line, _, ok := bytes.Cut(f.buf, []byte("\n")); ok {
			f.line <- line
			f.sent, f.buf = true, nil
		}
	}
	return f.file.Write(data)
}
