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

// stopTimeout is the time between SIGTERM and SIGKILL of a process.
const stopTimeout = 5 * time.Second

// fileMode is the mode of log and settings files.
const fileMode = 0o600

// Process is a process that the site started.
type Process struct {
	// PID is the process ID of the operating system.
	PID int
	// LogPath is the path of the file with the standard output and standard error
	// of the process.
	LogPath string
	cmd     *exec.Cmd
	stdout  *firstLineWriter
	done    chan struct{}
}

// startProcess starts a program, which is terminated when the group is stopped.
// Its output is appended to the log file of the name in dir.
func startProcess(group *qhgroup.Group, dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "free space on the disk for temporary files", "cannot write the log of %s", name)
	}
	p := &Process{LogPath: logFile.Name(), done: make(chan struct{}), stdout: newFirstLineWriter(logFile)}
	p.cmd = exec.CommandContext(group.Context(), program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.stdout, logFile
	p.cmd.SysProcAttr = sysProcAttr()
	p.cmd.WaitDelay = stopTimeout
	p.cmd.Cancel = func() error { return p.Terminate() }
	if err := p.cmd.Start(); err != nil {
		_ = logFile.Close() // the start error is returned
		return nil, qherr.New(qherr.BadInput, err, "build the programs first with make build", "cannot start %s", name)
	}
	p.PID = p.cmd.Process.Pid
	group.Go(func(context.Context) {
		_ = p.cmd.Wait() // the exit status is in cmd.ProcessState
		_ = logFile.Close()
		close(p.done)
	})
	return p, nil
}

// Done returns a channel that is closed after the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitStatus returns the exit status, or -1 if the process is still running or was
// terminated by a signal.
func (p *Process) ExitStatus() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Terminate sends SIGTERM for a graceful shutdown and resumes the process if it is
// paused, because a paused process does not handle the signal.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Resume()
}

// Pause sends SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// readAddress returns the listen address, which qhstand prints as JSON in its first
// line of output.
func (p *Process) readAddress(ctx context.Context) (qhid.Address, error) {
	select {
	case line := <-p.stdout.line:
		var ready struct {
			Address qhid.Address `json:"address"`
		}
		if err := json.Unmarshal(line, &ready); err != nil {
			return "", qherr.New(qherr.Internal, err, "check the log "+p.LogPath, "the first line of output has no listen address")
		}
		return ready.Address, nil
	case <-p.done:
		return "", p.exitError()
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// exitError returns the error for a process that exited during startup.
func (p *Process) exitError() error {
	text, _ := os.ReadFile(p.LogPath) // the error is useful without the log
	return qherr.New(qherr.Internal, nil, "check its log", "%s exited with status %d: %s", filepath.Base(p.cmd.Path), p.ExitStatus(), bytes.TrimSpace(text))
}

// firstLineWriter writes to a file and also sends the first line to the channel
// line.
type firstLineWriter struct {
	file *os.File
	line chan []byte

	mu   sync.Mutex
	buf  []byte
	sent bool
}

func newFirstLineWriter(file *os.File) *firstLineWriter {
	return &firstLineWriter{file: file, line: make(chan []byte, 1)}
}

// Write implements io.Writer.
func (w *firstLineWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.sent {
		w.buf = append(w.buf, data...)
		if line, _, ok := bytes.Cut(w.buf, []byte("\n")); ok {
			w.line <- line
			w.sent, w.buf = true, nil
		}
	}
	return w.file.Write(data)
}
