package qhsetting

import (
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"quetzalhaven.dev/qherr"
)

// Problem is one validation failure of settings.
type Problem struct {
	// Key is the path of the setting, as in "spread.batch".
	Key string
	// Message describes what is wrong, without a final period.
	Message string
	// Remedy describes how to correct it, without a final period.
	Remedy string
}

// String returns the key and the message, or only the message if Key is empty.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Message
	}
	return p.Key + ": " + p.Message
}

// Spec holds the defaults and the validation of settings of type T.
type Spec[T any] struct {
	// Defaults holds the values of keys that a file does not set.
	Defaults T
	// Check returns problems that validate tags cannot express. It may be nil.
	Check func(T) []Problem
}

// Load reads and validates a settings file. The errors are of kind BadInput and
// name the file, line, key, problem and remedy on one line. If there are several
// problems, the error names the first one in the file.
func Load[T any](path string, spec Spec[T]) (T, error) {
	var zero T
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, qherr.New(qherr.BadInput, err, "name a settings file that exists and can be read", "cannot read the settings")
	}
	return Parse(path, data, spec)
}

// Parse parses and validates the content of a settings file and returns the same
// errors as Load. They name the file by path.
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

// syntaxError converts a parser error of the form "hujson: line 3, column 5: text"
// into an error of kind BadInput that starts with path and line.
func syntaxError(path string, err error) error {
	const remedy = "write JSON, in which comments and trailing commas are allowed"
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	position, message, _ := strings.Cut(text, ": ")
	line, column, ok := strings.Cut(strings.TrimPrefix(position, "line "), ", column ")
	if !ok {
		return qherr.New(qherr.BadInput, nil, remedy, "%s: %s", path, text)
	}
	return qherr.New(qherr.BadInput, nil, remedy, "%s:%s: column %s: %s", path, line, column, message)
}
