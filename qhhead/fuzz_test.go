package qhhead_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhplatform"
)

// FuzzLoad loads a head and a record of arbitrary bytes. A configuration that
// loads must have the digest that its record names.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"version":1,"record":"%s","plan":"p"}`), []byte(`{"version":1,"config":"x","parts":["y"]}`))
	f.Add([]byte(`{"version":2,"record":"%s"}`), []byte(`{"version":2,"depth":-1,"previous":"..","diff":{"services":[{"name":"b"},{"name":"a"}]}}`))
	f.Add([]byte(`{"version":1,"record":"%s"}`), []byte(fmt.Sprintf(`{"version":1,"config":%q}`, configOfSize(0).Digest())))
	f.Fuzz(func(t *testing.T, headBytes, recordBytes []byte) {
		store := qhplatform.NewFake(qhplatform.FakeOptions{}).Store()
		digest := fmt.Sprintf("%x", sha256.Sum256(recordBytes))
		var head map[string]any
		if json.Unmarshal(headBytes, &head) == nil && head != nil {
			head["record"] = digest
			headBytes, _ = json.Marshal(head)
		}
		_, _ = store.Create(t.Context(), "head", headBytes)
		_, _ = store.Create(t.Context(), qhplatform.Key("record/"+digest), recordBytes)
		chain := qhhead.New(qhhead.Options{Store: store})
		read, err := chain.ReadHead(t.Context())
		if err != nil {
			if !qherr.Is(err, qherr.Internal) {
				t.Fatalf("an invalid head is reported as %s", qherr.KindOf(err))
			}
			return
		}
		config, record, err := chain.Load(t.Context(), read)
		if err == nil && config.Digest() != record.ConfigDigest {
			t.Fatalf("version %d was loaded although its digest does not match", read.Version)
		}
	})
}
