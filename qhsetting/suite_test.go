package qhsetting_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSettings(t *testing.T) {
	qhsuite.Run(t, "qhsetting")
}
