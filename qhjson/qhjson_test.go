package qhjson

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestFieldsAndItemsOfDeepAndOddValues(t *testing.T) {
	g := NewWithT(t)
	deep := strings.Repeat(`{"a":[`, 12_000) + strings.Repeat("]}", 12_000)
	fields, err := Fields([]byte(` { "items" : [ ` + deep + `, 1e999,"a\"]b" ,null ] , "at":7,"at" : 8, "e":{} } `))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fields).To(HaveLen(3))
	g.Expect(string(fields["at"])).To(Equal("8"))
	items, err := Items(fields["items"])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).To(HaveLen(4))
	g.Expect(string(items[0])).To(Equal(deep))
	g.Expect([]string{string(items[1]), string(items[2]), string(items[3])}).To(Equal([]string{"1e999", `"a\"]b"`, "null"}))
}

func TestTextsThatCannotBeSplit(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{``, `null`, `7`, `"a"`, `{`, `[`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1}}`, `{"a":1 "b":2}`, `{"a`, `{"a":"b`, `{"a":[1}`, `{a:1}`} {
		_, err := Fields([]byte(text))
		g.Expect(err).To(HaveOccurred(), text)
	}
	for _, text := range []string{``, `{}`, `[`, `[1`, `[1 2]`, `[,]`, `["a`, `[[1]`} {
		_, err := Items([]byte(text))
		g.Expect(err).To(HaveOccurred(), text)
	}
}

// FuzzSplit compares the parts of each valid text with those of encoding/json.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"c\\"}]}`, `[1, "\"", {}, []]`, `[]`, `{}`, `{"":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wantItems []json.RawMessage
		if json.Unmarshal(text, &wantItems) == nil && wantItems != nil {
			items, err := Items(text)
			if err != nil || len(items) != len(wantItems) {
				t.Fatalf("%q: %d items, want %d, error %v", text, len(items), len(wantItems), err)
			}
			for i := range items {
				if string(items[i]) != string(wantItems[i]) {
					t.Fatalf("%q: item %d is %q, want %q", text, i, items[i], wantItems[i])
				}
			}
		}
		var wantFields map[string]json.RawMessage
		if json.Unmarshal(text, &wantFields) == nil && wantFields != nil {
			fields, err := Fields(text)
			if err != nil || len(fields) != len(wantFields) {
				t.Fatalf("%q: %d fields, want %d, error %v", text, len(fields), len(wantFields), err)
			}
			for name, want := range wantFields {
				if string(fields[name]) != string(want) {
					t.Fatalf("%q: field %q is %q, want %q", text, name, fields[name], want)
				}
			}
		}
	})
}
