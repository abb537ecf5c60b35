package qhcrowd_test

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// Requests of HTTP/1.1. The service arrangements serves their routes.
const (
	lookup = "GET /pickups/today HTTP/1.1\r\nHost: x\r\n"
	upload = "POST /certificates HTTP/1.1\r\nHost: x\r\n"
)

// distinctLines returns header lines with different names, as many as fit into size bytes.
func distinctLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len()+len("aaaa:\r\n") <= size; i++ {
		lines.WriteString(headerName(i) + ":\r\n")
	}
	return lines.String()
}

// headerName returns one of many header names of four letters.
func headerName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := make([]byte, 4)
	for at := range name {
		name[at] = letters[i%len(letters)]
		i /= len(letters)
	}
	return string(name)
}

// chunk returns a chunk of a body.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// Types and flags of HTTP/2 frames.
const (
	dataFrame         = 0x0
	headersFrame      = 0x1
	settingsFrame     = 0x4
	continuationFrame = 0x9
	endStream         = 0x1
	endHeaders        = 0x4
	maxFrameBytes     = 16 << 10
)

// preface opens an HTTP/2 connection.
var preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settingsFrame, 0, 0, "")

// largeFrame is a part of an HTTP/2 frame of 1 MB.
var largeFrame = frame(dataFrame, 0, 1, strings.Repeat("x", 1<<20))[:200_000]

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))[1:]
	header = append(header, kind, flags)
	return string(binary.BigEndian.AppendUint32(header, stream)) + payload
}

// field returns a header field in HPACK, without compression.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// http2Head returns the frames of a request's head with additional fields. Without end, the
// last frame says that others follow.
func http2Head(stream uint32, method, path, fields string, flags byte) string {
	block := field(":method", method) + field(":scheme", "http") + field(":path", path) + field(":authority", "x") + fields
	kind, head := byte(headersFrame), ""
	for len(block) > maxFrameBytes {
		head += frame(kind, flags&endStream, stream, block[:maxFrameBytes])
		kind, flags, block = continuationFrame, flags&^endStream, block[maxFrameBytes:]
	}
	return head + frame(kind, flags, stream, block)
}

// distinctFields returns header fields with different names and no values.
func distinctFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fields.WriteString(field(headerName(i), ""))
	}
	return fields.String()
}

// streams returns the frames of many requests on one HTTP/2 connection.
func streams(count int, request func(stream uint32) string) string {
	var all strings.Builder
	all.WriteString(preface)
	for i := range count {
		all.WriteString(request(uint32(2*i + 1)))
	}
	return all.String()
}

// http2Upload returns the frames of a request whose body does not end.
func http2Upload(stream uint32, size int) string {
	frames := http2Head(stream, "POST", "/certificates", "", endHeaders)
	for ; size > 0; size -= maxFrameBytes {
		frames += frame(dataFrame, 0, stream, strings.Repeat("x", min(size, maxFrameBytes)))
	}
	return frames
}
