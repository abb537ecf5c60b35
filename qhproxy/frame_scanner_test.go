package qhproxy

import (
	"encoding/binary"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestFrameScannerFollowsFrames draws frames and the pieces in which they arrive.
func TestFrameScannerFollowsFrames(t *testing.T) {
	const settingsFrame, dataFrame, endStreamFlag = 0x4, 0x0, 0x1
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(t)
		sent := []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
		open := 0
		for range rapid.IntRange(0, 8).Draw(r, "frames") {
			kind := rapid.SampledFrom([]byte{dataFrame, settingsFrame, headersFrame, continuationFrame}).Draw(r, "kind")
			flags := rapid.SampledFrom([]byte{0, endStreamFlag, endHeadersFlag, endHeadersFlag | endStreamFlag}).Draw(r, "flags")
			size := rapid.IntRange(1, 70_000).Draw(r, "size")
			sent = append(sent, byte(size>>16), byte(size>>8), byte(size), kind, flags)
			sent = binary.BigEndian.AppendUint32(sent, 1)
			sent = append(sent, make([]byte, size)...)
			if kind == headersFrame || kind == continuationFrame {
				open += size
				if flags&endHeadersFlag != 0 {
					open = 0
				}
			}
		}
		scanner, got := newFrameScanner(), 0
		for len(sent) > 0 {
			n := rapid.IntRange(1, len(sent)).Draw(r, "piece")
			got, sent = scanner.scan(sent[:n]), sent[n:]
		}
		g.Expect(got).To(Equal(open))
	})
}
