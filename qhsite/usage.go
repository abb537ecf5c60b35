package qhsite

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"quetzalhaven.dev/qhid"
)

// Indexes of the fields of /proc/PID/stat after the program name. Index 0 is the
// process state, which is field 3 in proc(5).
const (
	statUserTicks     = 11
	statSystemTicks   = 12
	statResidentPages = 21
	// clockTick is the unit of the CPU times: USER_HZ is 100 on Linux.
	clockTick = 10 * time.Millisecond
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the CPU time, user and system, since the process started.
	CPUTime time.Duration
	// Memory is the current resident memory, and PeakMemory the most since the process
	// started.
	Memory, PeakMemory qhid.Bytes
	// OpenFiles is the number of open file descriptors.
	OpenFiles int
}

// Usage returns the resource usage of the process. It needs the proc file system.
func (p *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResidentPages {
		return Usage{}, fmt.Errorf("/proc/%d/stat has %d fields", p.PID, len(fields))
	}
	var numbers [statResidentPages + 1]int64
	for _, field := range []int{statUserTicks, statSystemTicks, statResidentPages} {
		if numbers[field], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	peak, err := p.peakMemory()
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPUTime:    time.Duration(numbers[statUserTicks]+numbers[statSystemTicks]) * clockTick,
		Memory:     qhid.Bytes(numbers[statResidentPages] * int64(os.Getpagesize())),
		PeakMemory: peak,
		OpenFiles:  len(files),
	}, nil
}

// peakMemory returns the peak resident memory of the process.
func (p *Process) peakMemory() (qhid.Bytes, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	value, _, ok := strings.Cut(rest, " kB")
	if !ok {
		return 0, fmt.Errorf("/proc/%d/status has no peak resident memory", p.PID)
	}
	kilobytes, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	return qhid.Bytes(kilobytes << 10), err
}
