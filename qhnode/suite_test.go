package main

import (
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestCommand(t *testing.T) { qhsuite.Run(t, "qhnode") }
