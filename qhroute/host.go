package qhroute

import (
	"net"
	"strings"
)

// StripPort returns the host without its port.
func StripPort(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
