package qhserve

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestServe(t *testing.T) { qhsuite.Run(t, "qhserve") }
