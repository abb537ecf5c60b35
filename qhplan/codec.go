package qhplan

import (
	"bytes"
	"encoding/json"

	"github.com/klauspost/compress/zstd"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// zstdMagic begins a zstd frame, and no JSON.
	zstdMagic = "\x28\xb5\x2f\xfd"
	// maxDecodedPlan bounds a plan once it is decompressed.
	maxDecodedPlan qhid.Bytes = 64 << 20
)

// encode returns the plan as it is kept: JSON, compressed where it is larger
// than the platform's values may be. A return to an old version can change
// everything and can't be split.
func encode(plan Plan) ([]byte, error) {
	data, err := json.Marshal(plan)
	if err != nil || len(data) <= int(qhplatform.MaxValueSize) {
		return data, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil), nil
}

// decode reads a plan as it is kept.
func decode(data []byte) (Plan, error) {
	if !bytes.HasPrefix(data, []byte(zstdMagic)) {
		return qhconfig.Decode[Plan](data)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxDecodedPlan)))
	if err != nil {
		return Plan{}, err
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return Plan{}, err
	}
	return qhconfig.Decode[Plan](plain)
}
