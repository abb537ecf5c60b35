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

// Constants of the kernel's sock_diag(7) interface, which finds a TCP socket by its
// addresses and returns its inode.
const (
	netlinkSockDiag    = 4          // NETLINK_SOCK_DIAG in linux/netlink.h
	sockDiagByFamily   = 20         // SOCK_DIAG_BY_FAMILY in linux/sock_diag.h
	allTCPStates       = 0xffffffff // bit mask of TCP states
	noCookie           = 0xffffffff // INET_DIAG_NOCOOKIE in linux/inet_diag.h
	inodeByteOffset    = 68         // of idiag_inode in struct inet_diag_msg
	responseBufferSize = 4096
)

// inetDiagRequest has the layout of struct inet_diag_req_v2 in linux/inet_diag.h.
// Ports and addresses are in network byte order.
type inetDiagRequest struct {
	Family, Protocol, Extensions, _ uint8
	States                          uint32
	FromPort, ToPort                [2]byte
	From, To                        [16]byte
	Interface                       uint32
	Cookie                          [2]uint32
}

// socketOwner returns which of the processes owns the TCP socket connected from
// source to destination, and false if none does. The source address does not
// identify a node, because all connections over loopback come from the same IP
// address.
func socketOwner(source, destination netip.AddrPort, pids []int) (int, bool) {
	inode, err := socketInode(source, destination)
	if err != nil {
		return 0, false
	}
	link := fmt.Sprintf("socket:[%d]", inode)
	for _, pid := range pids {
		if hasOpenFile(pid, link) {
			return pid, true
		}
	}
	return 0, false
}

// hasOpenFile reports whether a file descriptor of the process links to target in
// /proc.
func hasOpenFile(pid int, target string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has exited
	}
	for _, file := range files {
		if link, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && link == target {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the IPv4 TCP socket connected from source to
// destination.
func socketInode(source, destination netip.AddrPort) (uint32, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(socket) }() // the response has been read
	if err := syscall.Sendto(socket, encodeRequest(source, destination), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	buf := make([]byte, responseBufferSize)
	n, _, err := syscall.Recvfrom(socket, buf, 0)
	if err != nil {
		return 0, err
	}
	messages, err := syscall.ParseNetlinkMessage(buf[:n])
	if err != nil {
		return 0, err
	}
	if len(messages) == 0 || messages[0].Header.Type != sockDiagByFamily || len(messages[0].Data) < inodeByteOffset+4 {
		return 0, syscall.ENOENT
	}
	return binary.NativeEndian.Uint32(messages[0].Data[inodeByteOffset:]), nil
}

// encodeRequest encodes the netlink message that requests the socket.
func encodeRequest(source, destination netip.AddrPort) []byte {
	request := inetDiagRequest{
		Family:   syscall.AF_INET,
		Protocol: syscall.IPPROTO_TCP,
		States:   allTCPStates,
		Cookie:   [2]uint32{noCookie, noCookie},
	}
	binary.BigEndian.PutUint16(request.FromPort[:], source.Port())
	binary.BigEndian.PutUint16(request.ToPort[:], destination.Port())
	copy(request.From[:], source.Addr().Unmap().AsSlice())
	copy(request.To[:], destination.Addr().Unmap().AsSlice())
	header := syscall.NlMsghdr{
		Len:   uint32(syscall.NLMSG_HDRLEN + binary.Size(request)),
		Type:  sockDiagByFamily,
		Flags: syscall.NLM_F_REQUEST,
	}
	var buf bytes.Buffer
	_ = binary.Write(&buf, binary.NativeEndian, header)  // writes to a buffer do not fail
	_ = binary.Write(&buf, binary.NativeEndian, request) // writes to a buffer do not fail
	return buf.Bytes()
}
