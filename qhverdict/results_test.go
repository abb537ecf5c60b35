package main

import (
	"bytes"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Results", func() {
	const failing = "  [FAIL] Guard when full [It] refuses at once\n  /x/guard_test.go:10\n"

	verdict := func(red []Red, events ...Event) (string, error) {
		report := NewResults()
		for _, event := range events {
			report.Add(event)
		}
		var out bytes.Buffer
		err := report.Verdict(red, errors.New("exit status 1"), &out)
		return out.String(), err
	}
	suite := func(text string) []Event {
		return []Event{
			{Action: "pass", Package: "p", Test: "TestOther"},
			{Action: "output", Package: "p", Test: "TestGuard", Output: text},
			{Action: "fail", Package: "p", Test: "TestGuard"},
			{Action: "fail", Package: "p"},
		}
	}

	It("fails on a spec that is not listed", func() {
		out, err := verdict(nil, suite(failing)...)
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("failed: p: Guard when full refuses at once"))
	})

	It("names a failed set-up of a suite", func() {
		out, err := verdict(nil, suite("  [FAIL] [BeforeSuite] \n")...)
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("failed: p: [BeforeSuite]"))
	})

	It("passes over a listed spec and prints it", func() {
		red, err := ParseRed("# comment\nGuard when full refuses at once | go test ./p, seed 1 | 3 of 5 refused late | 5\n")
		Expect(err).NotTo(HaveOccurred())
		out, err := verdict(red, suite(failing)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("known red: Guard when full refuses at once (issue 5): 3 of 5 refused late"))
	})

	It("fails on a data race even where its spec is listed", func() {
		red := []Red{{Test: "Guard when full refuses at once"}}
		_, err := verdict(red, suite(failing+"WARNING: DATA RACE\n")...)
		Expect(err).To(HaveOccurred())
	})

	It("fails on a package that does not build", func() {
		_, err := verdict(nil, Event{Action: "pass", Package: "p", Test: "T"}, Event{Action: "fail", Package: "q"})
		Expect(err).To(HaveOccurred())
	})

	It("refuses an entry with missing fields", func() {
		_, err := ParseRed("Guard | 5\n")
		Expect(err).To(MatchError(ContainSubstring("KNOWN-RED.txt:1: 2 fields, not 4")))
	})
})
