package qhspread_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhspread")
}
