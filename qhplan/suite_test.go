package qhplan_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSpecs(t *testing.T) {
	qhsuite.Run(t, "qhplan")
}
