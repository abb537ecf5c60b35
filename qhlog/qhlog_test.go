package qhlog

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsetting"
)

func TestLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhlog")
}

var _ = Describe("New", func() {
	var out bytes.Buffer
	logger := func(level, format string, terminal bool) *zap.Logger {
		out.Reset()
		log, sync, err := newForWriter(zapcore.AddSync(&out), terminal, qhsetting.Log{Level: level, Format: format}, "qhnode", "v1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sync)
		return log
	}

	It("writes one JSON object per line", func() {
		logger("info", "auto", false).Info("configuration in force", zap.Uint64("version", 7))
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("msg", "configuration in force"))
		Expect(line).To(HaveKeyWithValue("program", "qhnode"))
		Expect(line).To(HaveKeyWithValue("build", "v1"))
		Expect(line).To(HaveKeyWithValue("version", 7.0))
	})

	It("writes text on a terminal", func() {
		logger("info", "auto", true).Info("ready")
		Expect(out.String()).To(ContainSubstring("INFO\tqhnode\tready"))
	})

	It("omits entries below the level", func() {
		logger("warn", "json", false).Info("ready")
		Expect(out.String()).To(BeEmpty())
	})

	It("samples a frequent message", func() {
		log := logger("info", "json", false)
		const lines = 2 * sampleFirst
		for range lines {
			log.Info("call refused")
		}
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(BeNumerically("<", lines))
	})

	It("rejects an unknown level", func() {
		_, _, err := New(qhsetting.Log{Level: "loud"}, "qhnode", "v1")
		Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue())
	})
})
