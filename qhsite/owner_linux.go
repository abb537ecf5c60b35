package qhsite

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// The columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// ownerOf returns which of the processes has the socket that connects from one
// address to the other, and whether one has. It tells the zones apart, since
// all connections over loopback come from one IP number.
func ownerOf(from, to netip.AddrPort, processes []int) (int, bool) {
	inode, ok := inodeOf(from, to)
	if !ok {
		return 0, false
	}
	want := "socket:[" + inode + "]"
	for _, id := range processes {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", id)) // the pattern is valid
		for _, file := range files {
			if link, err := os.Readlink(file); err == nil && link == want {
				return id, true
			}
		}
	}
	return 0, false
}

func inodeOf(from, to netip.AddrPort) (string, bool) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = file.Close() }() // it was only read
	local, remote := procAddress(from), procAddress(to)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > columnInode && columns[columnLocal] == local && columns[columnRemote] == remote {
			return columns[columnInode], true
		}
	}
	return "", false
}

// procAddress writes an address as /proc/net/tcp does.
func procAddress(address netip.AddrPort) string {
	ip := address.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), address.Port())
}
