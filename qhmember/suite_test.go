package qhmember_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSuite(t *testing.T) {
	qhsuite.Run(t, "qhmember")
}
