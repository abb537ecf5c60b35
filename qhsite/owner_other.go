//go:build !linux

package qhsite

import "net/netip"

// socketOwner is only implemented on Linux. Elsewhere no connection is attributed
// to a node, so that Partition and Blackhole have no effect.
func socketOwner(netip.AddrPort, netip.AddrPort, []int) (int, bool) { return 0, false }
