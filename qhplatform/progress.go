package qhplatform

import (
	"context"
	"io"
)

// progressKey is the context key of the function that WithProgress sets.
type progressKey struct{}

// WithProgress returns a context whose calls report the number of bytes of each part of a
// response as it arrives. Calls that run concurrently report concurrently.
func WithProgress(ctx context.Context, report func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// progressReader reports what is read from a response.
type progressReader struct {
	io.Reader
	report func(bytes int)
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.report(n)
	}
	return n, err
}

// withProgress returns a reader of body that reports as WithProgress says.
func withProgress(ctx context.Context, body io.Reader) io.Reader {
	if report, ok := ctx.Value(progressKey{}).(func(bytes int)); ok {
		return &progressReader{Reader: body, report: report}
	}
	return body
}
