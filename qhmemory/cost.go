package qhmemory

import (
	"bytes"
	"net/http"

	"quetzalhaven.dev/qhid"
)

const (
	// callCost is held for each call in flight: its goroutines and buffers.
	callCost qhid.Bytes = 16 << 10
	// lineCost is held for each header line in addition to its bytes: its entry in a map and
	// its slices.
	lineCost qhid.Bytes = 160
	// textFactor is how often the bytes of a head are held: as received, parsed and as they
	// are forwarded.
	textFactor = 3
)

// CallCost returns what a call with a head of the given size and number of lines takes.
func CallCost(size qhid.Bytes, lines int) qhid.Bytes {
	return callCost + textFactor*size + qhid.Bytes(lines)*lineCost
}

// HeadCost returns what a call with a head, as received in HTTP/1.1, takes.
func HeadCost(head []byte) qhid.Bytes {
	return CallCost(qhid.Bytes(len(head)), bytes.Count(head, []byte("\n")))
}

// HeaderCost returns what a call with parsed headers takes.
func HeaderCost(header http.Header) qhid.Bytes {
	size, lines := 0, 0
	for name, values := range header {
		size += len(name)
		lines += len(values)
		for _, value := range values {
			size += len(value)
		}
	}
	return CallCost(qhid.Bytes(size), lines)
}
