package qhproxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhgroup"
)

// pausingReader returns its pieces one after the other, with a pause before each.
type pausingReader struct {
	pieces [][]byte
	pauses []time.Duration
	err    error
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, r.err
	}
	time.Sleep(r.pauses[0])
	r.pauses[0] = 0
	n := copy(p, r.pieces[0])
	if r.pieces[0] = r.pieces[0][n:]; len(r.pieces[0]) == 0 {
		r.pieces, r.pauses = r.pieces[1:], r.pauses[1:]
	}
	return n, nil
}

// TestReadAheadKeepsTheBody draws bodies that come in pieces, late, too large or broken off.
func TestReadAheadKeepsTheBody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, maxBufferedRequest/2), 0, 6).Draw(rt, "sizes")
		source := &pausingReader{err: rapid.SampledFrom([]error{io.EOF, iotest.ErrTimeout}).Draw(rt, "err")}
		var whole []byte
		var length time.Duration
		for i, size := range sizes {
			piece := bytes.Repeat([]byte{byte('a' + i)}, size)
			pause := time.Duration(rapid.IntRange(0, 30).Draw(rt, "pause")) * time.Millisecond
			whole, length = append(whole, piece...), length+pause
			source.pieces, source.pauses = append(source.pieces, piece), append(source.pauses, pause)
		}
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			group, stop := qhgroup.New(context.Background())
			defer stop()
			body := startReadAhead(group, source, nil)
			start := time.Now()
			content, complete := body.complete()
			g.Expect(time.Since(start)).To(BeNumerically("<=", maxReadAheadTime))
			if length < maxReadAheadTime {
				g.Expect(complete).To(Equal(errors.Is(source.err, io.EOF) && len(whole) <= maxBufferedRequest))
			}
			if complete {
				g.Expect(bytes.Equal(content, whole)).To(BeTrue())
				return
			}
			got, err := io.ReadAll(body)
			g.Expect(bytes.Equal(got, whole)).To(BeTrue())
			g.Expect(err == nil).To(Equal(errors.Is(source.err, io.EOF)))
			g.Expect(len(body.buffer)).To(BeNumerically("<=", maxBufferedRequest+readAheadStep))
		})
	})
}
