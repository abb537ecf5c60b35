package qhwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhmember"
)

// FuzzFrame reads frames from arbitrary bytes. The frames read must not be
// longer than the input, and must be the same when they are framed again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 3, 'a', 'b', 'c'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add(binary.AppendUvarint(nil, uint64(MaxFrameSize)))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		var reframed []byte
		for {
			frame, err := readFrame(reader)
			if err != nil {
				if errors.Is(err, io.EOF) && len(frame) > len(data) {
					t.Fatal("frame is longer than the input")
				}
				return
			}
			reframed = binary.AppendUvarint(reframed, uint64(len(frame)))
			reframed = append(reframed, frame...)
			if len(reframed) > len(data)+binary.MaxVarintLen64 {
				t.Fatal("frames are longer than the input")
			}
		}
	})
}

// FuzzMembershipUpdate decodes updates from arbitrary bytes and merges their
// entries.
func FuzzMembershipUpdate(f *testing.F) {
	f.Add([]byte(`{"e":[{"node":"a1","zone":"a","inc":1,"seq":2,"state":"up","targets":[{"id":"t","service":"s"}]}],"u":"b"}`))
	f.Add([]byte(`{"e":[{"node":"self","zone":"a","inc":18446744073709551615,"seq":18446744073709551615,"state":"down"}]}`))
	f.Add([]byte(`{"e":[{"node":"other","zone":"a","inc":18446744073709551615,"seq":1,"state":"down"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		update, err := decode[MembershipUpdate](data)
		if err != nil {
			return
		}
		table := qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{Node: "self", Zone: "a", State: qhmember.Up}})
		table.Merge(update.Entries)
		for _, entry := range update.Entries {
			if entry.Node == "self" && entry.Zone != "" && entry.Sequence < 1<<62 && entry.Incarnation < 1<<62 && qhmember.Compare(entry, table.Self()) > 0 {
				t.Fatal("a claim of another node overrides the node's own entry")
			}
		}
		if known, ok := table.Get("other"); ok && uint64(known.Incarnation) >= 1<<62 {
			t.Fatal("an entry was merged that no later incarnation can replace")
		}
		if table.Self().State != qhmember.Up {
			t.Fatal("another node changed a node's own state")
		}
		digest := table.Checksum()
		if changed := table.Merge(table.EntriesInZone("a")); len(changed) > 0 || table.Checksum() != digest {
			t.Fatal("merging known entries changed the table")
		}
	})
}

// FuzzVersionContent unpacks full configurations from arbitrary bytes.
func FuzzVersionContent(f *testing.F) {
	packed, _ := Pack(qhconfig.Config{Services: []qhconfig.Service{{Name: "booking"}}})
	message, _ := json.Marshal(VersionContent{Version: 1, FullConfig: packed})
	f.Add(message)
	f.Fuzz(func(_ *testing.T, data []byte) {
		content, err := decode[VersionContent](data)
		if err != nil {
			return
		}
		_, _ = Unpack[qhconfig.Config](content.FullConfig)
	})
}
