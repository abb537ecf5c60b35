package qhproxy

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestProxy(t *testing.T) {
	qhsuite.Run(t, "qhproxy")
}
