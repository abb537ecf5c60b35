package qhlog

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

var _ = Describe("sink", func() {
	It("never blocks, reserves space for warnings and errors, and logs the number of dropped lines", func() {
		out := &blockedWriter{release: make(chan struct{})}
		s, stop := newSink(out)
		lowPriority, highPriority := sinkWriter{s, maxQueuedBytes / 2}, sinkWriter{s, maxQueuedBytes}
		line := []byte(strings.Repeat("w", 1023) + "\n")
		for range 4 * maxQueuedBytes / len(line) {
			_, err := lowPriority.Write(line)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := highPriority.Write([]byte("this failed\n"))
		Expect(err).NotTo(HaveOccurred())
		close(out.release)
		stop()
		Expect(out.String()).To(ContainSubstring("this failed"))
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
	})
})
