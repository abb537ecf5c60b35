// Package qhresponse decides whether the bytes that a target sends are a response of HTTP/1.1
// (RFC 9112). net/http accepts more: any status of three characters that are a number, blanks
// in the names of fields, also of those that frame the body, and lines that continue the field
// before them.
package qhresponse

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// InvalidError is the error of bytes that are not a response.
type InvalidError struct {
	// Detail says what is invalid, with at most maxKept bytes of the response.
	Detail string
}

// Error returns what is invalid and the remedy.
func (e *InvalidError) Error() string {
	return "the bytes received are not a valid response: " + e.Detail + "; check the target"
}

func invalid(format string, args ...any) error {
	return &InvalidError{Detail: fmt.Sprintf(format, args...)}
}

// CheckStatus returns an *InvalidError unless status is that of a final response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return invalid("the status %03d is not that of a final response", status)
	}
	return nil
}

// CheckTrailer returns an *InvalidError if the name of a trailer field is not a token.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if len(name) != tokenLength([]byte(name)) {
			return invalid("the name of the trailer field %q is not a token", name[:min(len(name), maxKept)])
		}
	}
	return nil
}

const (
	// maxStatus is the highest status (RFC 9110, section 15).
	maxStatus = 599
	// maxKept is how many bytes of a line are kept. It is more than the longest version,
	// status and name that a decision depends on.
	maxKept = 32
)

// part is a part of a response.
type part int

const (
	// nothing is the part between two responses, where no byte is valid.
	nothing part = iota
	statusLine
	// fieldStart is the start of a line after the status line.
	fieldStart
	fieldName
	fieldValue
	// lastLine is the empty line at the end of a head, after its carriage return.
	lastLine
	// body is all that follows the head of a final response. It is not checked.
	body
)

// HeadChecker checks the heads of the responses on one connection as their bytes arrive. It
// keeps no more than maxKept of them. The zero value expects no response.
type HeadChecker struct {
	part part
	// kept is the beginning of the status line or of the name.
	kept [maxKept]byte
	// keptLength is at most maxKept.
	keptLength int
	// interim is set in the head of an interim response (1xx), which another one follows.
	interim bool
	// legacy is set in a response of HTTP/1.0.
	legacy bool
}

// Expect makes the next byte the first one of a response.
func (c *HeadChecker) Expect() { c.enter(statusLine) }

// ExpectNothing makes any byte invalid until Expect is called.
func (c *HeadChecker) ExpectNothing() { c.enter(nothing) }

// Check returns an *InvalidError if data, the next bytes on the connection, cannot belong to a
// response. Nothing of them may be used then.
func (c *HeadChecker) Check(data []byte) error {
	for len(data) > 0 && c.part != body {
		n, err := c.checkPart(data)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// checkPart checks the beginning of data and returns the number of bytes that it has checked.
func (c *HeadChecker) checkPart(data []byte) (int, error) {
	switch c.part {
	case statusLine:
		return c.checkStatusLine(data)
	case fieldStart:
		return c.checkFieldStart(data)
	case fieldName:
		return c.checkFieldName(data)
	case fieldValue:
		return c.skipFieldValue(data), nil
	case lastLine:
		if data[0] != '\n' {
			return 0, invalid("a carriage return without a line feed in the head")
		}
		c.endHead()
		return 1, nil
	default:
		return 0, invalid("bytes that belong to no call")
	}
}

// enter begins a part.
func (c *HeadChecker) enter(next part) { c.part, c.keptLength = next, 0 }

// keep keeps data as far as there is room.
func (c *HeadChecker) keep(data []byte) { c.keptLength += copy(c.kept[c.keptLength:], data) }

// checkStatusLine decides at the end of the status line, or once enough of it was kept.
func (c *HeadChecker) checkStatusLine(data []byte) (int, error) {
	line, _, complete := bytes.Cut(data, []byte("\n"))
	c.keep(line)
	if !complete && c.keptLength < maxKept {
		return len(data), nil
	}
	kept := c.kept[:c.keptLength]
	if complete {
		kept = bytes.TrimSuffix(kept, []byte("\r"))
	}
	version, status, ok := parseStatusLine(string(kept))
	if !ok {
		return 0, invalid("the status line begins with %q", kept)
	}
	c.legacy = version == "HTTP/1.0"
	c.interim = status < http.StatusOK && status >= http.StatusContinue && status != http.StatusSwitchingProtocols
	if !c.interim {
		if err := CheckStatus(status); err != nil {
			return 0, err
		}
	}
	if !complete {
		c.enter(fieldValue) // the rest of the line is the reason phrase
		return len(data), nil
	}
	c.enter(fieldStart)
	return len(line) + 1, nil
}

// parseStatusLine returns the version and the status of a status line, whose reason phrase may
// be incomplete.
func parseStatusLine(line string) (version string, status int, ok bool) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return "", 0, false
	}
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != 3 {
		return "", 0, false
	}
	for i := range len(code) {
		if !isDigit(code[i]) {
			return "", 0, false
		}
		status = 10*status + int(code[i]-'0')
	}
	return version, status, true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// checkFieldStart tells the end of the head from a field.
func (c *HeadChecker) checkFieldStart(data []byte) (int, error) {
	switch data[0] {
	case '\n':
		c.endHead()
		return 1, nil
	case '\r':
		c.enter(lastLine)
		return 1, nil
	default:
		c.enter(fieldName)
		return 0, nil
	}
}

// checkFieldName checks a name up to its colon.
func (c *HeadChecker) checkFieldName(data []byte) (int, error) {
	n := tokenLength(data)
	c.keep(data[:n])
	if n == len(data) {
		return n, nil
	}
	name := c.kept[:c.keptLength]
	if data[n] != ':' || len(name) == 0 {
		return 0, invalid("the byte %#02x in the name of a field, after %q", data[n], name)
	}
	if c.legacy && strings.EqualFold(string(name), "Transfer-Encoding") { // faulty framing (RFC 9112, section 6.1)
		return 0, invalid("a Transfer-Encoding in HTTP/1.0")
	}
	c.enter(fieldValue)
	return n + 1, nil
}

// tokenLength returns how many bytes at the beginning of data may be in a token (RFC 9110,
// section 5.6.2).
func tokenLength(data []byte) int {
	for i, b := range data {
		isAlphanumeric := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b)
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return i
		}
	}
	return len(data)
}

// skipFieldValue skips a value up to the end of its line. net/http checks values.
func (c *HeadChecker) skipFieldValue(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return len(data)
	}
	c.enter(fieldStart)
	return end + 1
}

// endHead ends the head of a response.
func (c *HeadChecker) endHead() {
	if c.interim {
		c.enter(statusLine)
		return
	}
	c.enter(body)
}
