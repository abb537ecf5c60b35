package qhoperate

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOperate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhoperate")
}
