package qhstream_test

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestStream(t *testing.T) {
	qhsuite.Run(t, "qhstream")
}
