package qhsetting

import (
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"quetzalhaven.dev/qherr"
)

// Problem is one thing that is wrong with settings.
type Problem struct {
	// Key is the path of the setting, as in "spread.batch".
	Key string
	// Message says what is wrong, without a final period.
	Message string
	// Remedy says what to write, without a final period.
	Remedy string
}

// String returns the key and what is wrong.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Message
	}
	return p.Key + ": " + p.Message
}

// Spec says what settings of the type T may be.
type Spec[T any] struct {
	// Defaults holds the values of the keys that a file leaves out.
	Defaults T
	// Check returns what the validate tags can't express. It may be nil.
	Check func(T) []Problem
}

// Load reads the settings file. Its errors are of the kind BadInput and name
// the file, the line, the key, what is wrong and the remedy, on one line. Where
// several things are wrong it names the first of the file.
func Load[T any](path string, spec Spec[T]) (T, error) {
	var zero T
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, qherr.New(qherr.BadInput, err, "name a settings file that exists and can be read", "can't read the settings")
	}
	return Parse(path, data, spec)
}

// Parse is Load of data that was read before. path is for the errors.
func Parse[T any](path string, data []byte, spec Spec[T]) (T, error) {
	var zero T
	root, err := hujson.Parse(data)
	if err != nil {
		return zero, syntaxError(path, err)
	}
	settings := spec.Defaults
	doc := &document{data: data, lines: make(map[string]int)}
	doc.decode(root, &settings)
	if len(doc.problems) == 0 {
		doc.problems = validate(settings)
	}
	if len(doc.problems) == 0 && spec.Check != nil {
		doc.problems = spec.Check(settings)
	}
	if problem, ok := doc.firstProblem(); ok {
		return zero, qherr.New(qherr.BadInput, nil, problem.Remedy, "%s:%d: %s", path, doc.lineOf(problem.Key), problem)
	}
	return settings, nil
}

// syntaxError turns "hujson: line 3, column 5: what" into an error of a setting.
func syntaxError(path string, err error) error {
	const remedy = "write JSON, in which comments and trailing commas are allowed"
	what := strings.TrimPrefix(err.Error(), "hujson: ")
	place, rest, _ := strings.Cut(what, ": ")
	line, column, ok := strings.Cut(strings.TrimPrefix(place, "line "), ", column ")
	if !ok {
		return qherr.New(qherr.BadInput, nil, remedy, "%s: %s", path, what)
	}
	return qherr.New(qherr.BadInput, nil, remedy, "%s:%s: column %s: %s", path, line, column, rest)
}
