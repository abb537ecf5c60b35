package qhtarget_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestTarget(t *testing.T) {
	qhsuite.Run(t, "Target")
}
