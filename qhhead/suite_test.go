package qhhead_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestHead(t *testing.T) {
	qhsuite.Run(t, "Head")
}
