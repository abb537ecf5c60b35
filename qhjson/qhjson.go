// Package qhjson splits JSON texts without decoding the values in them. Unlike
// encoding/json it does not give up a whole text for one value that is nested too deep or
// has another type than expected.
package qhjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errIncomplete is returned for a text that ends within a value.
var errIncomplete = errors.New("the text ends within a value") //nolint:gochecknoglobals // a sentinel error

// Fields returns the raw values of the fields of an object. The values are parts of the
// text and may be invalid. Of a field that occurs several times it returns the last value.
func Fields(text []byte) (map[string]json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	err := split(text, '{', '}', func(s *scanner) error {
		key, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(key, &name); err != nil {
			return fmt.Errorf("field name: %w", err)
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		fields[name], err = s.value()
		return err
	})
	return fields, err
}

// Items returns the raw values of an array. They are parts of the text and may be invalid.
func Items(text []byte) ([]json.RawMessage, error) {
	var items []json.RawMessage
	err := split(text, '[', ']', func(s *scanner) error {
		item, err := s.value()
		items = append(items, item)
		return err
	})
	return items, err
}

// split calls part for each element between the delimiters.
func split(text []byte, first, last byte, part func(s *scanner) error) error {
	s := &scanner{text: text}
	if err := s.expect(first); err != nil {
		return err
	}
	for s.next() != last {
		if err := part(s); err != nil {
			return err
		}
		if s.next() != last {
			if err := s.expect(','); err != nil {
				return err
			}
		}
	}
	s.at++
	if s.next() != 0 {
		return fmt.Errorf("%q after the value", s.text[s.at])
	}
	return nil
}

// scanner is a position in a text.
type scanner struct {
	text []byte
	at   int
}

// next skips white space and returns the next byte, or 0 at the end of the text.
func (s *scanner) next() byte {
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.text[s.at]
		}
	}
	return 0
}

func (s *scanner) expect(want byte) error {
	if got := s.next(); got != want {
		return fmt.Errorf("%q at byte %d, expected %q", got, s.at, want)
	}
	s.at++
	return nil
}

// value returns the next value. It counts the depth of nesting instead of recursing.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start, depth := s.at, 0
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
			if depth == 0 {
				s.at++
				return s.text[start:s.at], nil
			}
		case '{', '[':
			depth++
		case '}', ']', ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.scalar(start)
			}
			if c := s.text[s.at]; c == '}' || c == ']' {
				depth--
				if depth == 0 {
					s.at++
					return s.text[start:s.at], nil
				}
			}
		}
	}
	if depth > 0 {
		return nil, errIncomplete
	}
	return s.scalar(start)
}

// scalar returns the number or literal from start to the current position.
func (s *scanner) scalar(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, fmt.Errorf("no value at byte %d", start)
	}
	return s.text[start:s.at], nil
}

// skipString moves to the closing quote of a string.
func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			return nil
		}
	}
	return errIncomplete
}
