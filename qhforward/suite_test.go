package qhforward_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestForward(t *testing.T) {
	qhsuite.Run(t, "qhforward")
}
