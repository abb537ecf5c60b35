package qhmemory

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestMemory(t *testing.T) {
	qhsuite.Run(t, "qhmemory")
}
