package qhlog

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

var _ = Describe("sink", func() {
	It("never waits, keeps room for what failed, and tells what it dropped", func() {
		out := &blocked{release: make(chan struct{})}
		s, stop := newSink(out)
		routine, failures := writer{s, sinkBytes / 2}, writer{s, sinkBytes}
		well := []byte(strings.Repeat("w", 1023) + "\n")
		for range 4 * sinkBytes / len(well) {
			_, err := routine.Write(well)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := failures.Write([]byte("this failed\n"))
		Expect(err).NotTo(HaveOccurred())
		close(out.release)
		stop()
		Expect(out.String()).To(ContainSubstring("this failed"))
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
	})
})
