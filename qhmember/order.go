package qhmember

import (
	"cmp"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalhaven.dev/qhid"
)

// Digest compares sets of entries. It does not depend on their order.
type Digest uint64

// Compare orders two entries of one node by what is known later: by
// incarnation, by sequence, and down after any other state of the same pair.
func Compare(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(weight(a.State), weight(b.State)),
	)
}

func weight(state State) int {
	if state == Down {
		return 1
	}
	return 0
}

// digestOf returns the part of one entry in a digest.
func digestOf(entry Entry) Digest {
	buf := make([]byte, 0, 64)
	buf = append(buf, entry.Node...)
	buf = append(buf, 0, byte(weight(entry.State)))
	buf = binary.BigEndian.AppendUint64(buf, uint64(entry.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(entry.Sequence))
	return Digest(xxhash.Sum64(buf))
}

// ZoneBetween tells whether zone lies after from and before until, going up through
// the names and round from the last to the first. With from and until the same
// it is true for every other zone.
func ZoneBetween(from, zone, until qhid.Zone) bool {
	after := strings.Compare(string(zone), string(from)) > 0
	before := strings.Compare(string(zone), string(until)) < 0
	switch {
	case from == until:
		return zone != from
	case from < until:
		return after && before
	default:
		return (after || before) && zone != from && zone != until
	}
}
