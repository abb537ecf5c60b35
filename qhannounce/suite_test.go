package qhannounce

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAnnounce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhannounce")
}
