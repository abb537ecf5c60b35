package qhintent

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsetting"
)

// Load reads and parses an intent file. The errors are of kind BadInput and name
// the file, line, key and remedy.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, qherr.New(qherr.BadInput, err, "name a file that exists and can be read", "cannot read the intent file")
	}
	return Parse(path, data)
}

// Parse parses the content of an intent file and returns the same errors as Load.
// They name the file by path.
func Parse(path string, data []byte) (File, error) {
	return qhsetting.Parse(path, data, qhsetting.Spec[File]{Check: checkFile})
}

// The fields of intents, separated by spaces.
const (
	serviceLimits = "slots queue connections"
	routeLimits   = "timeout silence body"
	routeFields   = "host prefix methods shares repeat " + routeLimits
)

// allowedFields returns the fields that a verb accepts for a service and for a
// route in addition to the name, and whether it applies to services and to routes.
func allowedFields(verb Verb) (service, route string, forService, forRoute bool) {
	switch verb {
	case Add, Change:
		return serviceLimits, routeFields, true, true
	case Remove:
		return "", "", true, true
	case Limit:
		return serviceLimits, routeLimits, true, true
	case Shift:
		return "", "shares from to percent", false, true
	case Retry:
		return "", "repeat", false, true
	case Retire, Unretire:
		return "targets", "", true, false
	default:
		return "", "", false, false
	}
}

// checkFile returns the problems of intents that don't depend on the configuration.
func checkFile(file File) []qhsetting.Problem {
	var problems []qhsetting.Problem
	for i := range file.Intents {
		intent := &file.Intents[i]
		path := fmt.Sprintf("intents[%d]", i)
		add := func(key, message, remedy string) {
			problems = append(problems, qhsetting.Problem{Key: strings.TrimSuffix(path+"."+key, "."), Message: message, Remedy: remedy})
		}
		if intent.Verb == Rollback {
			checkRollback(file, intent, add)
			continue
		}
		checkSubject(intent, add)
		checkRequiredFields(intent, add)
	}
	return problems
}

func checkRollback(file File, intent *Intent, add func(key, message, remedy string)) {
	if len(file.Intents) > 1 {
		add("", "cannot be combined with other intents", "put the rollback into a file of its own")
	}
	if intent.Version == 0 {
		add("version", "is missing", "name the version, as qhctl history lists it")
	}
	for _, name := range intent.givenFields() {
		if name != "version" {
			add(name, `is not a field of "back"`, "remove it")
		}
	}
}

// checkSubject checks that an intent names a service or route, and sets only the
// fields that its verb accepts for it.
func checkSubject(intent *Intent, add func(key, message, remedy string)) {
	serviceFields, routeFieldNames, forService, forRoute := allowedFields(intent.Verb)
	fields, subject := "service "+serviceFields, "service"
	if forRoute && (intent.Route != "" || !forService) {
		fields, subject = "route "+routeFieldNames, "route"
	}
	if intent.Service == "" && intent.Route == "" {
		add("", fmt.Sprintf("%q names no service or route", intent.Verb), subjectRemedy(forService, forRoute))
		return
	}
	for _, name := range intent.givenFields() {
		if !slices.Contains(strings.Fields(fields), name) {
			add(name, fmt.Sprintf("is not a field of %q for a %s", intent.Verb, subject), "use "+strings.ReplaceAll(strings.TrimSpace(fields), " ", ", "))
		}
	}
}

func subjectRemedy(forService, forRoute bool) string {
	switch {
	case forService && forRoute:
		return "set service or route"
	case forService:
		return "set service"
	default:
		return "set route"
	}
}

// checkRequiredFields checks that an intent sets the fields that its verb requires.
func checkRequiredFields(intent *Intent, add func(key, message, remedy string)) {
	givenFields := intent.givenFields()
	switch intent.Verb {
	case Add:
		if intent.Route != "" && (intent.Prefix == nil || len(intent.Shares) == 0) {
			add("", "adds a route without prefix or shares", "set both")
		}
	case Change, Limit:
		if len(givenFields) == 1 {
			add("", fmt.Sprintf("%q sets no field", intent.Verb), "set what should change")
		}
	case Retry:
		if intent.Retry == nil {
			add("repeat", "is missing", `write "never", "safe" or "keyed"`)
		}
	case Retire, Unretire:
		if len(intent.Targets) == 0 {
			add("targets", "is missing", "name the targets")
		}
	case Shift:
		checkShift(intent, add)
	}
	if intent.Retry != nil && !slices.Contains([]string{"never", "safe", "keyed"}, *intent.Retry) {
		add("repeat", fmt.Sprintf("cannot be %q", *intent.Retry), `write "never", "safe" or "keyed"`)
	}
}

func checkShift(intent *Intent, add func(key, message, remedy string)) {
	moves := intent.From != "" || intent.To != "" || intent.Percent != 0
	switch {
	case moves && intent.Shares != nil:
		add("shares", "cannot be combined with from, to or percent", "give shares, or from, to and percent")
	case moves && (intent.From == "" || intent.To == "" || intent.From == intent.To):
		add("", "does not name two services to shift between", "set from and to")
	case moves && (intent.Percent < 1 || intent.Percent > 100):
		add("percent", fmt.Sprintf("cannot be %d", intent.Percent), "write 1 to 100")
	case !moves && len(intent.Shares) == 0:
		add("", "shifts nothing", "set shares, or from, to and percent")
	}
}

// givenFields returns the names of the fields that the intent sets, without verb
// and reason.
func (i *Intent) givenFields() []string {
	fields := []struct {
		name string
		set  bool
	}{
		{"service", i.Service != ""},
		{"route", i.Route != ""},
		{"slots", i.Slots != nil},
		{"queue", i.MaxQueue != nil},
		{"connections", i.MaxConnections != nil},
		{"targets", i.Targets != nil},
		{"host", i.Host != nil},
		{"prefix", i.Prefix != nil},
		{"methods", i.Methods != nil},
		{"shares", i.Shares != nil},
		{"repeat", i.Retry != nil},
		{"timeout", i.Timeout != nil},
		{"silence", i.FirstByteTimeout != nil},
		{"body", i.MaxBodyBytes != nil},
		{"from", i.From != ""},
		{"to", i.To != ""},
		{"percent", i.Percent != 0},
		{"version", i.Version != 0},
	}
	var given []string
	for _, field := range fields {
		if field.set {
			given = append(given, field.name)
		}
	}
	return given
}
