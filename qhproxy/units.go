package qhproxy

import (
	"bytes"
	"strconv"
	"strings"
)

// units finds where requests begin in what a caller sends, so that each can be
// handed out by itself. What it can't follow is handed out as it comes.
type units struct {
	// rest is how much of the request that is being handed out is to come.
	rest int
	// begun counts the requests whose handing out has begun.
	begun int
	// seen is how far into what was read ahead requests were looked at, and found
	// how many they are beyond begun.
	seen, found int
	// opaque is set once requests can't be told apart any more.
	opaque bool
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// allowed returns how much of what was read may be handed out, 0 where more has
// to be read first; final is set where no more comes.
func (u *units) allowed(ahead []byte, final bool) int {
	if u.rest == 0 && !u.opaque && len(ahead) > 0 {
		size, whole := unitSize(ahead)
		switch {
		case size > 0:
			u.rest = size
			u.begun++
			if u.found > 0 {
				u.found--
			}
		case whole || final || len(ahead) >= maxHead:
			u.opaque = true
		}
	}
	if u.opaque {
		return len(ahead)
	}
	return min(u.rest, len(ahead))
}

// handOut notes that so many bytes were handed out.
func (u *units) handOut(n int) {
	u.seen = max(0, u.seen-n)
	if !u.opaque {
		u.rest -= n
	}
}

// between tells whether the next byte begins a request.
func (u *units) between() bool { return u.rest == 0 && !u.opaque }

// next returns the head of the next request without a body that was not looked
// at before, and its number from 1; nil where there is none yet.
func (u *units) next(ahead []byte) ([]byte, int) {
	u.seen = max(u.seen, u.rest)
	if u.opaque || u.seen >= len(ahead) {
		return nil, 0
	}
	end := bytes.Index(ahead[u.seen:], []byte(headEnd))
	if end < 0 {
		return nil, 0
	}
	head := ahead[u.seen : u.seen+end+len(headEnd)]
	if size, _ := unitSize(head); size != len(head) {
		return nil, 0 // it has a body
	}
	return head, u.begun + u.found + 1
}

// look notes that the head that next returned was looked at.
func (u *units) look(head []byte) {
	u.seen += len(head)
	u.found++
}

// unitSize returns the size of the request that data begins with, 0 where it is
// not known. whole is set where its head is all there.
func unitSize(data []byte) (size int, whole bool) {
	head, _, whole := bytes.Cut(data, []byte(headEnd))
	if !whole {
		return 0, false
	}
	size = len(head) + len(headEnd)
	for i, line := range strings.Split(string(head), "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case i == 0 && strings.HasPrefix(line, "PRI "): // the preface of HTTP/2
			return 0, true
		case strings.EqualFold(name, "Transfer-Encoding"), strings.EqualFold(name, "Upgrade"):
			return 0, true
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil {
				return 0, true
			}
			size += int(length)
		}
	}
	return size, true
}
