package qhoperate

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestOperate(t *testing.T) {
	qhsuite.Run(t, "qhoperate")
}
