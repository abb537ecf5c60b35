package qhwire

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qherr"
)

// largeValue returns a value with the given number of entries, which have random
// names.
func largeValue(entries int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var value bytes.Buffer
	for range entries {
		fmt.Fprintf(&value, `{"name":"r-%x","host":"%x.example"},`, random.Uint64(), random.Uint64())
	}
	return value.Bytes()
}

func TestDeltaOfLargeValueIsSmall(t *testing.T) {
	g := NewWithT(t)
	before := largeValue(5000)
	after := bytes.Clone(before)
	copy(after[10:], "changed")
	copy(after[len(after)-100:], "also changed")
	packed, err := PackDelta(after, before)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", len(after)/50))
	g.Expect(UnpackDelta(packed, before)).To(Equal(after))
	packedFull, err := PackDelta(after, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(UnpackDelta(packedFull, nil)).To(Equal(after))
}

func TestUnpackDeltaRejectsWrongBase(t *testing.T) {
	g := NewWithT(t)
	before := largeValue(500)
	packed, err := PackDelta(append(bytes.Clone(before), "more"...), before)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = UnpackDelta(packed, nil)
	g.Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue())
	_, err = UnpackDelta([]byte("no packed value"), before)
	g.Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue())
}

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(r, "data")
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(r, "against")
		packed, err := PackDelta(data, base)
		if err != nil {
			r.Fatal(err)
		}
		got, err := UnpackDelta(packed, base)
		if err != nil || !bytes.Equal(got, data) {
			r.Fatalf("unpacked %d bytes that differ from the packed data: %v", len(got), err)
		}
	})
}
