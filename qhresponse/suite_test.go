package qhresponse

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestResponse(t *testing.T) {
	qhsuite.Run(t, "qhresponse")
}
