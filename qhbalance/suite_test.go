package qhbalance_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestBalance(t *testing.T) {
	qhsuite.Run(t, "qhbalance")
}
