package qhconn

import (
	"testing"

	"go.uber.org/goleak"

	"quetzalhaven.dev/qhsuite"
)

func TestConn(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	qhsuite.Run(t, "qhconn")
}
