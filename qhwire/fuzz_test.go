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

// FuzzFrame reads frames of any bytes. What is read is no longer than what came,
// and comes out the same when it is framed again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 3, 'a', 'b', 'c'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add(binary.AppendUvarint(nil, uint64(MaxFrame)))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		var again []byte
		for {
			frame, err := readFrame(reader)
			if err != nil {
				if errors.Is(err, io.EOF) && len(frame) > len(data) {
					t.Fatal("more read than there was")
				}
				return
			}
			again = binary.AppendUvarint(again, uint64(len(frame)))
			again = append(again, frame...)
			if len(again) > len(data)+binary.MaxVarintLen64 {
				t.Fatal("more read than there was")
			}
		}
	})
}

// FuzzNews decodes announcements of any bytes and merges what comes out.
func FuzzNews(f *testing.F) {
	f.Add([]byte(`{"e":[{"node":"a1","zone":"a","inc":1,"seq":2,"state":"up","targets":[{"id":"t","service":"s"}]}],"u":"b"}`))
	f.Add([]byte(`{"e":[{"node":"self","zone":"a","inc":18446744073709551615,"seq":18446744073709551615,"state":"down"}]}`))
	f.Add([]byte(`{"e":[{"node":"other","zone":"a","inc":18446744073709551615,"seq":1,"state":"down"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		news, err := decode[News](data)
		if err != nil {
			return
		}
		table := qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{Node: "self", Zone: "a", State: qhmember.Up}})
		table.Merge(news.Entries)
		for _, entry := range news.Entries {
			if entry.Node == "self" && entry.Zone != "" && entry.Sequence < 1<<62 && entry.Incarnation < 1<<62 && qhmember.Compare(entry, table.Self()) > 0 {
				t.Fatal("what others say of a node stands")
			}
		}
		if known, ok := table.Get("other"); ok && uint64(known.Incarnation) >= 1<<62 {
			t.Fatal("an entry was taken that nothing can follow")
		}
		if table.Self().State != qhmember.Up {
			t.Fatal("others changed what a node says of itself")
		}
		digest := table.Digest()
		if changed := table.Merge(table.Zone("a")); len(changed) > 0 || table.Digest() != digest {
			t.Fatal("known entries changed something")
		}
	})
}

// FuzzContent unpacks versions of any bytes.
func FuzzContent(f *testing.F) {
	packed, _ := Pack(qhconfig.Config{Services: []qhconfig.Service{{Name: "booking"}}})
	whole, _ := json.Marshal(Content{Version: 1, Whole: packed})
	f.Add(whole)
	f.Fuzz(func(_ *testing.T, data []byte) {
		content, err := decode[Content](data)
		if err != nil {
			return
		}
		_, _ = Unpack[qhconfig.Config](content.Whole)
	})
}
