package qhconfig_test

import (
	"encoding/json"
	"strings"
	"testing"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsample"
)

func FuzzDecode(f *testing.F) {
	sample, err := json.Marshal(qhsample.ConfigOfSize(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte(`{"services":[{"name":"booking"}],"routes":[{"name":"urns","prefix":"/","shares":[{"service":"booking","percent":100}],"timeout":"5s"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := qhconfig.Decode[qhconfig.Config](data)
		if err != nil {
			if !qherr.Is(err, qherr.BadInput) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("the error is not a single line of kind BadInput: %q", err)
			}
			return
		}
		if config.Check() != nil {
			return
		}
		if config.Canonical().Digest() != config.Digest() {
			t.Fatalf("a valid configuration is not in canonical order: %q", data)
		}
		again, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := qhconfig.Decode[qhconfig.Config](again); err != nil || same.Digest() != config.Digest() {
			t.Fatalf("the configuration changes by encoding and decoding: %s, %v", again, err)
		}
	})
}
