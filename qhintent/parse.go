package qhintent

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsetting"
)

// Load reads a file of intents. Its errors are of kind BadInput and name file,
// line, key and remedy.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, qherr.New(qherr.BadInput, err, "name a file that exists and can be read", "can't read the intents")
	}
	return Parse(path, data)
}

// Parse is Load of data that was read before. path is for the errors.
func Parse(path string, data []byte) (File, error) {
	return qhsetting.Parse(path, data, qhsetting.Spec[File]{Check: check})
}

// The fields that intents take, by what they are about.
const (
	serviceLimits = "slots queue connections"
	routeLimits   = "timeout silence body"
	routeFields   = "host prefix methods shares repeat " + routeLimits
)

// fieldsOf returns the fields that an intent takes besides its name, and
// whether its verb can be about a service and about a route.
func fieldsOf(do Verb) (service, route string, onService, onRoute bool) {
	switch do {
	case Add, Change:
		return serviceLimits, routeFields, true, true
	case Remove:
		return "", "", true, true
	case Limit:
		return serviceLimits, routeLimits, true, true
	case Shift:
		return "", "shares from to percent", false, true
	case Repeat:
		return "", "repeat", false, true
	case Retire, Unretire:
		return "targets", "", true, false
	default:
		return "", "", false, false
	}
}

// check returns what is wrong with intents whatever the configuration is.
func check(file File) []qhsetting.Problem {
	var found []qhsetting.Problem
	for i := range file.Intents {
		intent := &file.Intents[i]
		at := fmt.Sprintf("intents[%d]", i)
		add := func(key, what, remedy string) {
			found = append(found, qhsetting.Problem{Key: strings.TrimSuffix(at+"."+key, "."), What: what, Remedy: remedy})
		}
		if intent.Do == Back {
			checkBack(file, intent, add)
			continue
		}
		checkSubject(intent, add)
		checkNeeds(intent, add)
	}
	return found
}

func checkBack(file File, intent *Intent, add func(key, what, remedy string)) {
	if len(file.Intents) > 1 {
		add("", "can't stand beside other intents", "put it into a file of its own")
	}
	if intent.Version == 0 {
		add("version", "is missing", "name the version, as qhctl history lists it")
	}
	for _, name := range intent.given() {
		if name != "version" {
			add(name, `is not a field of "back"`, "remove it")
		}
	}
}

// checkSubject checks that an intent names one service or route, and gives the
// fields of it only.
func checkSubject(intent *Intent, add func(key, what, remedy string)) {
	service, route, onService, onRoute := fieldsOf(intent.Do)
	fields, other := "service "+service, "service"
	if onRoute && (intent.Route != "" || !onService) {
		fields, other = "route "+route, "route"
	}
	if intent.Service == "" && intent.Route == "" {
		add("", fmt.Sprintf("%q names nothing", intent.Do), subjectRemedy(onService, onRoute))
		return
	}
	for _, name := range intent.given() {
		if !slices.Contains(strings.Fields(fields), name) {
			add(name, fmt.Sprintf("is not a field of %q for a %s", intent.Do, other), "use "+strings.ReplaceAll(strings.TrimSpace(fields), " ", ", "))
		}
	}
}

func subjectRemedy(onService, onRoute bool) string {
	switch {
	case onService && onRoute:
		return "set service or route"
	case onService:
		return "set service"
	default:
		return "set route"
	}
}

// checkNeeds checks that an intent gives what its verb can't do without.
func checkNeeds(intent *Intent, add func(key, what, remedy string)) {
	given := intent.given()
	switch intent.Do {
	case Add:
		if intent.Route != "" && (intent.Prefix == nil || len(intent.Shares) == 0) {
			add("", "adds a route without prefix or shares", "set both")
		}
	case Change, Limit:
		if len(given) == 1 {
			add("", fmt.Sprintf("%q gives nothing to set", intent.Do), "set what should change")
		}
	case Repeat:
		if intent.Repeat == nil {
			add("repeat", "is missing", `write "never", "safe" or "keyed"`)
		}
	case Retire, Unretire:
		if len(intent.Targets) == 0 {
			add("targets", "is missing", "name the targets")
		}
	case Shift:
		checkShift(intent, add)
	}
	if intent.Repeat != nil && !slices.Contains([]string{"never", "safe", "keyed"}, *intent.Repeat) {
		add("repeat", fmt.Sprintf("can't be %q", *intent.Repeat), `write "never", "safe" or "keyed"`)
	}
}

func checkShift(intent *Intent, add func(key, what, remedy string)) {
	moves := intent.From != "" || intent.To != "" || intent.Percent != 0
	switch {
	case moves && intent.Shares != nil:
		add("shares", "stands beside from, to or percent", "give shares, or from, to and percent")
	case moves && (intent.From == "" || intent.To == "" || intent.From == intent.To):
		add("", "does not name two services to shift between", "set from and to")
	case moves && (intent.Percent < 1 || intent.Percent > 100):
		add("percent", fmt.Sprintf("can't be %d", intent.Percent), "write 1 to 100")
	case !moves && len(intent.Shares) == 0:
		add("", "shifts nothing", "set shares, or from, to and percent")
	}
}

// given names the fields that the intent sets, but for its verb and reason.
func (i *Intent) given() []string {
	fields := []struct {
		name string
		set  bool
	}{
		{"service", i.Service != ""},
		{"route", i.Route != ""},
		{"slots", i.Slots != nil},
		{"queue", i.Queue != nil},
		{"connections", i.Connections != nil},
		{"targets", i.Targets != nil},
		{"host", i.Host != nil},
		{"prefix", i.Prefix != nil},
		{"methods", i.Methods != nil},
		{"shares", i.Shares != nil},
		{"repeat", i.Repeat != nil},
		{"timeout", i.Timeout != nil},
		{"silence", i.Silence != nil},
		{"body", i.Body != nil},
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
