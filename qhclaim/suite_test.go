package qhclaim

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestClaim(t *testing.T) {
	qhsuite.Run(t, "qhclaim")
}
