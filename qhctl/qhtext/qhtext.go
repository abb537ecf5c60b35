// Package qhtext formats the output of qhctl as text for people. The format may
// change; programs should use the JSON output.
package qhtext

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// padding is the number of spaces between columns.
	padding = 2
	// indent aligns details with the values of fields.
	indent = "          "
)

// Writer writes lines of text. After the first write error it writes nothing more.
type Writer struct {
	out io.Writer
	err error
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Err returns the first write error.
func (w *Writer) Err() error { return w.err }

// Line writes one line.
func (w *Writer) Line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

// Field writes a name and its value, or nothing if the value is empty.
func (w *Writer) Field(name, value string) {
	if value != "" {
		w.Line("%-8s  %s", name, value)
	}
}

// Detail writes an indented line that belongs to the previous field.
func (w *Writer) Detail(format string, args ...any) { w.Line(indent+format, args...) }

// Table writes a header and rows in aligned columns.
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

// formatTime formats a time in UTC.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

// joinNames joins names with commas.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

// plural returns the count with the noun in singular or plural, as in "2 nodes".
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
