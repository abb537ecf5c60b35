package qhwire_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSuite(t *testing.T) {
	qhsuite.Run(t, "qhwire")
}
