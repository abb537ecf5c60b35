package qhannounce

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestAnnounce(t *testing.T) {
	qhsuite.Run(t, "qhannounce")
}
