// Package qhtext writes what qhctl tells as text for people. The shapes are for
// reading; programs take JSON.
package qhtext

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// padding is the number of spaces between two columns.
	padding = 2
	// indent goes before the details of a line.
	indent = "          "
)

// Writer writes lines and keeps the first error.
type Writer struct {
	out io.Writer
	err error
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Err returns the first error of writing.
func (w *Writer) Err() error { return w.err }

// Line writes one line.
func (w *Writer) Line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

// Field writes a name and its value, where it has one.
func (w *Writer) Field(name, value string) {
	if value != "" {
		w.Line("%-8s  %s", name, value)
	}
}

// Detail writes a line that belongs to the field before.
func (w *Writer) Detail(format string, args ...any) { w.Line(indent+format, args...) }

// Table writes rows below a head, in columns.
func (w *Writer) Table(head []string, rows [][]string) {
	if w.err != nil {
		return
	}
	table := tabwriter.NewWriter(w.out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			w.err = err
			return
		}
	}
	w.err = table.Flush()
}

// formatTime returns a time as operators read it, in UTC.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

// joinNames returns names with commas between.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

// plural returns "1 node" or "2 nodes".
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
