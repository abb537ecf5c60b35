package qhintent

import (
	"fmt"
	"strings"
)

// verbs returns all verbs in the order of the help text.
func verbs() []Verb {
	return []Verb{Add, Change, Remove, Shift, Retire, Unretire, Limit, Retry, Rollback}
}

// Help returns a line for each verb and the kind of entry it applies to, with the
// fields that it accepts.
func Help() string {
	var text strings.Builder
	for _, verb := range verbs() {
		service, route, forService, forRoute := allowedFields(verb)
		if forService {
			writeHelpLine(&text, verb, "service", service)
		}
		if forRoute {
			writeHelpLine(&text, verb, "route", route)
		}
		if verb == Rollback {
			writeHelpLine(&text, verb, "version", "")
		}
	}
	return text.String()
}

func writeHelpLine(text *strings.Builder, verb Verb, subject, fields string) {
	line := fmt.Sprintf("  %-8s  %-7s  %s", verb, subject, strings.ReplaceAll(fields, " ", ", "))
	text.WriteString(strings.TrimRight(line, " ") + "\n")
}
