package qhconn

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestConn(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhconn")
}
