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
	// zstdMagic starts every zstd frame. No JSON value starts with it.
	zstdMagic = "\x28\xb5\x2f\xfd"
	// maxDecodedPlan limits the size of a decompressed plan.
	maxDecodedPlan qhid.Bytes = 64 << 20
)

// encode returns the stored form of a plan: JSON, compressed with zstd if it
// exceeds the size limit of the platform's values. A rollback can change every
// entry and cannot be split into several plans.
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

// decode parses the stored form of a plan.
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
