package qhwire

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxUnpackedSize is the largest decompressed size of a packed value.
const maxUnpackedSize qhid.Bytes = 64 << 20

// Packed is a large value that is compressed with zstd, by Pack or by PackDelta.
type Packed []byte

// Pack encodes a value as JSON and compresses it.
func Pack[T any](value T) (Packed, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a bug", "value cannot be encoded")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a bug", "cannot create the compressor")
	}
	defer func() { _ = encoder.Close() }() // an encoder without a writer cannot fail to close
	return encoder.EncodeAll(data, nil), nil
}

// Unpack decompresses and decodes a value. It returns an error of kind BadInput
// if packed is not valid.
func Unpack[T any](packed Packed) (T, error) {
	var value T
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxUnpackedSize)), zstd.WithDecoderLowmem(true))
	if err != nil {
		return value, qherr.New(qherr.Internal, err, "report this as a bug", "cannot create the decompressor")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return value, qherr.New(qherr.BadInput, err, "ask another node", "packed value cannot be decompressed")
	}
	return decode[T](data)
}
