package qhwire

import (
	"github.com/klauspost/compress/zstd"

	"quetzalhaven.dev/qherr"
)

// deltaID names the dictionary of a delta; both ends know which bytes it means.
const deltaID = 1

// PackDelta compresses data to its difference from against, which may be nil.
func PackDelta(data, against []byte) (Packed, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(against) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(deltaID, against))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a fault", "compression fails")
	}
	defer func() { _ = encoder.Close() }() // it has no writer to fail on
	return encoder.EncodeAll(data, nil), nil
}

// UnpackDelta returns what PackAgainst was given. Errors are of kind BadInput.
func UnpackDelta(packed Packed, against []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxUnpacked)), zstd.WithDecoderLowmem(true)}
	if len(against) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(deltaID, against))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, qherr.New(qherr.Internal, err, "report this as a fault", "decompression fails")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, qherr.New(qherr.BadInput, err, "ask for the whole value", "packed value cannot be decompressed")
	}
	return data, nil
}
