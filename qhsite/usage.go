package qhsite

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"quetzalhaven.dev/qhid"
)

// Fields of /proc/PID/stat behind the name of the program, and their units.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldPages  = 21
	tick        = 10 * time.Millisecond
)

// Usage is what a process has used.
type Usage struct {
	// Processor is the processor time since the process started.
	Processor time.Duration
	// Memory is the resident memory now.
	Memory qhid.Bytes
}

// Usage returns what the process has used. It needs the proc file system.
func (p *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldPages {
		return Usage{}, fmt.Errorf("/proc/%d/stat has %d fields", p.ID, len(fields))
	}
	var numbers [fieldPages + 1]int64
	for _, field := range []int{fieldUser, fieldSystem, fieldPages} {
		if numbers[field], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		Processor: time.Duration(numbers[fieldUser]+numbers[fieldSystem]) * tick,
		Memory:    qhid.Bytes(numbers[fieldPages] * int64(os.Getpagesize())),
	}, nil
}
