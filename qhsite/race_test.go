//go:build race

package qhsite_test

var buildFlags = []string{"-race"}
