package qhwire

import (
	"github.com/klauspost/compress/zstd"

	"quetzalhaven.dev/qherr"
)

// dictionaryID identifies the zstd dictionary of a delta, which is the base that
// sender and receiver both have.
const dictionaryID = 1

// PackDelta compresses data as the difference from base, which may be nil.
func PackDelta(data, base []byte) (Packed, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a bug", "cannot create the compressor")
	}
	defer func() { _ = encoder.Close() }() // an encoder without a writer cannot fail to close
	return encoder.EncodeAll(data, nil), nil
}

// UnpackDelta returns the data that PackDelta compressed with the same base. It
// returns an error of kind BadInput if packed or base is wrong.
func UnpackDelta(packed Packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxUnpackedSize)), zstd.WithDecoderLowmem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a bug", "cannot create the decompressor")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, qherr.New(qherr.BadInput, err, "request the full value", "delta cannot be decompressed")
	}
	return data, nil
}
