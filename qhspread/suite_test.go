package qhspread_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSpread(t *testing.T) {
	qhsuite.Run(t, "qhspread")
}
