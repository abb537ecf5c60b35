package qhmember

import (
	"cmp"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalhaven.dev/qhid"
)

// Checksum identifies a set of entries, independent of their order: it is the sum of
// the hashes of the entries, so that one can be added or removed without the others.
type Checksum uint64

// Compare orders two entries of one node from older to newer: by incarnation, then
// by sequence, then with Down after any other state.
func Compare(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(stateRank(a.State), stateRank(b.State)),
	)
}

func stateRank(state State) int {
	if state == Down {
		return 1
	}
	return 0
}

// entryChecksum returns the checksum of a single entry. The targets are not hashed:
// they do not change without the sequence.
func entryChecksum(entry Entry) Checksum {
	buf := make([]byte, 0, 64)
	buf = append(buf, entry.Node...)
	buf = append(buf, 0, byte(stateRank(entry.State)))
	buf = binary.BigEndian.AppendUint64(buf, uint64(entry.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(entry.Sequence))
	return Checksum(xxhash.Sum64(buf))
}

// ZoneBetween reports whether zone lies between from and until, both excluded, on
// the ring of zone names in lexical order, where the first name follows the last. If
// from equals until, it is true for every other zone.
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
