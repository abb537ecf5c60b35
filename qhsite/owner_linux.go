package qhsite

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
)

// The parts of the kernel's socket diagnostics that are used: a request for one
// TCP socket by its addresses, and the inode in the answer.
const (
	protocolDiag  = 4
	messageByAddr = 20
	anyState      = 0xffffffff
	anyCookie     = 0xffffffff
	offsetInode   = 68
	answerSize    = 4096
)

// diagRequest asks for a socket. Ports and addresses are in network order.
type diagRequest struct {
	Family, Protocol, Extensions, _ uint8
	States                          uint32
	FromPort, ToPort                [2]byte
	From, To                        [16]byte
	Interface                       uint32
	Cookie                          [2]uint32
}

// ownerOf returns which of the processes has the socket that connects from one
// address to the other, and whether one has. It tells the zones apart, since
// all connections over loopback come from one IP number.
func ownerOf(from, to netip.AddrPort, processes []int) (int, bool) {
	inode, err := inodeOf(from, to)
	if err != nil {
		return 0, false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, id := range processes {
		if hasFile(id, want) {
			return id, true
		}
	}
	return 0, false
}

// hasFile tells whether a file descriptor of the process is the file.
func hasFile(process int, want string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", process)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has ended
	}
	for _, file := range files {
		if link, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && link == want {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of a TCP socket over IPv4.
func inodeOf(from, to netip.AddrPort) (uint32, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, protocolDiag)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(socket) }() // nothing is written any more
	if err := syscall.Sendto(socket, encodeRequest(from, to), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	buf := make([]byte, answerSize)
	n, _, err := syscall.Recvfrom(socket, buf, 0)
	if err != nil {
		return 0, err
	}
	messages, err := syscall.ParseNetlinkMessage(buf[:n])
	if err != nil {
		return 0, err
	}
	if len(messages) == 0 || messages[0].Header.Type != messageByAddr || len(messages[0].Data) < offsetInode+4 {
		return 0, syscall.ENOENT
	}
	return binary.NativeEndian.Uint32(messages[0].Data[offsetInode:]), nil
}

func encodeRequest(from, to netip.AddrPort) []byte {
	request := diagRequest{
		Family:   syscall.AF_INET,
		Protocol: syscall.IPPROTO_TCP,
		States:   anyState,
		Cookie:   [2]uint32{anyCookie, anyCookie},
	}
	binary.BigEndian.PutUint16(request.FromPort[:], from.Port())
	binary.BigEndian.PutUint16(request.ToPort[:], to.Port())
	copy(request.From[:], from.Addr().Unmap().AsSlice())
	copy(request.To[:], to.Addr().Unmap().AsSlice())
	header := syscall.NlMsghdr{
		Len:   uint32(syscall.NLMSG_HDRLEN + binary.Size(request)),
		Type:  messageByAddr,
		Flags: syscall.NLM_F_REQUEST,
	}
	var buf bytes.Buffer
	_ = binary.Write(&buf, binary.NativeEndian, header)  // a buffer takes all
	_ = binary.Write(&buf, binary.NativeEndian, request) // a buffer takes all
	return buf.Bytes()
}
