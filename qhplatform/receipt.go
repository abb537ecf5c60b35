package qhplatform

import (
	"context"
	"errors"
	"io"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// ErrTooLong is the cause of the error of a call whose response is longer than
// Receipt.MaxSize. The rest of the response has not been received.
var ErrTooLong = errors.New("the response is longer than the caller wants to receive") //nolint:gochecknoglobals // a sentinel error

// Receipt follows the response of a call.
type Receipt struct {
	// MaxSize is the size above which a response is not received, and the call fails
	// with ErrTooLong and kind Conflict; 64 MiB if it is 0.
	MaxSize qhid.Bytes
	// OnBytes is called with the number of bytes of each part of the response as it
	// arrives; it may be nil.
	OnBytes func(bytes int)
}

// receiptKey is the context key of a Receipt.
type receiptKey struct{}

// WithReceipt returns a context whose calls use the receipt.
func WithReceipt(ctx context.Context, receipt Receipt) context.Context {
	return context.WithValue(ctx, receiptKey{}, receipt)
}

// receive reads the response to a call. length is -1 if it is not known.
func receive(ctx context.Context, call Call, body io.Reader, length int64) ([]byte, error) {
	receipt, _ := ctx.Value(receiptKey{}).(Receipt)
	if receipt.OnBytes != nil {
		body = &progressReader{Reader: body, onBytes: receipt.OnBytes}
	}
	limit := int64(maxResponseSize)
	if receipt.MaxSize > 0 {
		limit = min(limit, int64(receipt.MaxSize))
	}
	if length > limit {
		return nil, tooLongError(call, limit)
	}
	received, err := io.ReadAll(io.LimitReader(body, limit+1))
	if int64(len(received)) > limit {
		return nil, tooLongError(call, limit)
	}
	return received, err
}

func tooLongError(call Call, limit int64) error {
	return qherr.New(qherr.Conflict, ErrTooLong, "read less at once", "the response to %s %s has more than %d bytes", call.Op, call.Key, limit)
}

// progressReader reports what is read from a response.
type progressReader struct {
	io.Reader
	onBytes func(bytes int)
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onBytes(n)
	}
	return n, err
}
