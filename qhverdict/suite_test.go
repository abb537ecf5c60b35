package main

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestVerdict(t *testing.T) {
	qhsuite.Run(t, "qhverdict")
}
