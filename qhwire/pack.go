package qhwire

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxUnpacked is the largest value that a packed one unfolds to.
const maxUnpacked qhid.Bytes = 64 << 20

// Packed is a value as compressed JSON, for what is large.
type Packed []byte

// Pack compresses a value.
func Pack[T any](value T) (Packed, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a fault", "value cannot be encoded")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a fault", "compression fails")
	}
	defer func() { _ = encoder.Close() }() // it has no writer to fail on
	return encoder.EncodeAll(data, nil), nil
}

// Unpack returns the value of a packed one. Errors are of kind BadInput.
func Unpack[T any](packed Packed) (T, error) {
	var value T
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxUnpacked)), zstd.WithDecoderLowmem(true))
	if err != nil {
		return value, qherr.New(qherr.Internal, err, "report this as a fault", "decompression fails")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return value, qherr.New(qherr.BadInput, err, "ask another node", "packed value cannot be decompressed")
	}
	return decode[T](data)
}
