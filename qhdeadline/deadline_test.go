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

// FuzzParse checks that the remaining time never increases when it is formatted
// and parsed again.
func FuzzParse(f *testing.F) {
	f.Add("1.5")
	f.Add("0x1p-2")
	f.Add("9007199254740993.1")
	f.Fuzz(func(t *testing.T, value string) {
		remaining, err := Parse(value)
		if err != nil {
			return
		}
		if remaining < 0 || remaining > Max {
			t.Fatalf("Parse(%q) = %s, out of range", value, remaining)
		}
		reparsed, err := Parse(Format(remaining))
		if err != nil || reparsed > remaining {
			t.Fatalf("%s was parsed back as %s: %v", remaining, reparsed, err)
		}
	})
}
