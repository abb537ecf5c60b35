package qhid

import (
	"net"
	"strconv"
)

// maxPort is the highest port number.
const maxPort = 65535

// IsValid reports whether the address names a host and a port that can be dialed.
func (a Address) IsValid() bool {
	host, port, err := net.SplitHostPort(string(a))
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number <= maxPort
}
