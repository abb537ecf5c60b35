package qhdeadline

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]time.Duration{"1.5": 1500 * time.Millisecond, "0": 0, "1e9": Max, "0.000001": time.Microsecond, "Inf": Max} {
		got, err := Parse(value)
		g.Expect(err).NotTo(HaveOccurred(), value)
		g.Expect(got).To(Equal(want), value)
	}
	for _, value := range []string{"", "-1", "soon", "NaN", "-Inf", "1s"} {
		_, err := Parse(value)
		g.Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue(), value)
	}
	g.Expect(Shortest(0, time.Minute, time.Second, 0)).To(Equal(time.Second))
	g.Expect(Shortest()).To(Equal(Max))
}

// FuzzParse checks that a time never grows from hop to hop.
func FuzzParse(f *testing.F) {
	f.Add("1.5")
	f.Add("0x1p-2")
	f.Add("9007199254740993.1")
	f.Fuzz(func(t *testing.T, value string) {
		left, err := Parse(value)
		if err != nil {
			return
		}
		if left < 0 || left > Max {
			t.Fatalf("%q gives %s", value, left)
		}
		again, err := Parse(Format(left))
		if err != nil || again > left {
			t.Fatalf("%s became %s: %v", left, again, err)
		}
	})
}
