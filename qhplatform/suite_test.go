package qhplatform_test

import (
	"testing"

	"go.uber.org/goleak"

	"quetzalhaven.dev/qhsuite"
)

// ginkgoInterrupts is a goroutine that ginkgo keeps running.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

func TestPlatform(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction(ginkgoInterrupts))
	qhsuite.Run(t, "Platform")
}
