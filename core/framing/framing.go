// Package framing follows the requests that a client sends on one HTTP/1 connection, without
// parsing them: where a head ends, how many lines it has, and where its body ends.
//
//	var f framing.Framer
//	for len(b) > 0 {
//		n := f.Next(b)
//		if f.HeadEnded() {
//			admit(f.Head())
//		}
//		b = b[n:]
//	}
package framing

import (
	"bytes"
	"math"
	"strconv"
)

// Head is the size of a request's head.
type Head struct {
	// Bytes counts the request line, the header lines and the empty lines around them.
	Bytes int
	// Lines counts the lines that end.
	Lines int
}

// part is a part of a request.
type part int

const (
	inHead part = iota
	// inBody is the body of a request with a length.
	inBody
	inChunkSize
	inChunk
	inTrailer
	// unknown means that the bytes are not those of a request. The server refuses it.
	unknown
)

// maxField is the length of the longest header line that matters: Content-Length with a
// number.
const maxField = 64

// version10 is the end of the request line of HTTP/1.0, which has no chunks.
const version10 = 0x485454502f312e30

// Framer follows one connection. The zero value expects a request. It is not safe for concurrent
// use.
type Framer struct {
	part  part
	head  Head
	ended bool
	// rest is the number of bytes left in the body or the chunk.
	rest int64

	// begun is set once the head has a byte other than an end of line, and firstEnded once the
	// request line has ended.
	begun, firstEnded bool
	// tail holds the last eight bytes of the request line.
	tail uint64
	// lineBytes counts the bytes of the line until now, without its end.
	lineBytes int
	// wasCR is set if the last byte of the line is a carriage return.
	wasCR bool
	// field is the start of the current header line, with continued lines and without
	// blanks. It is in lower case.
	field [maxField]byte
	n     int
	// length and chunked are what the header says about the body.
	length  int64
	chunked bool
}

// Head returns the size of the current head. It is the last one while its body arrives.
func (f *Framer) Head() Head { return f.head }

// HeadEnded returns true if the last call of Next has consumed the last byte of a head.
func (f *Framer) HeadEnded() bool { return f.ended }

// InHead returns true if the next byte belongs to a head.
func (f *Framer) InHead() bool { return f.part == inHead }

// HasBegun returns true if a head has begun, other than with empty lines, and not ended.
func (f *Framer) HasBegun() bool { return f.part == inHead && f.begun && !f.ended }

// Next consumes bytes that have arrived, up to the end of the head or the body, and returns
// their number. It is at least one, unless b is empty.
func (f *Framer) Next(b []byte) int {
	if len(b) == 0 {
		return 0
	}
	switch f.part {
	case inHead:
		return f.nextOfHead(b)
	case inBody, inChunk:
		f.ended = false
		n := int(min(f.rest, int64(len(b))))
		if f.rest -= int64(n); f.rest == 0 {
			f.endData()
		}
		return n
	case inChunkSize, inTrailer:
		f.ended = false
		for i, c := range b {
			if c == '\n' {
				f.endChunkLine()
				if f.part == inHead || f.part == inChunk {
					return i + 1
				}
			} else {
				f.add(c)
			}
		}
	}
	f.ended = false
	return len(b)
}

func (f *Framer) nextOfHead(b []byte) int {
	if f.ended {
		// The head before had no body.
		f.begin()
	}
	for i, c := range b {
		f.head.Bytes++
		switch {
		case c == '\n':
			f.head.Lines++
			isEmpty := f.lineBytes == 0 || f.lineBytes == 1 && f.wasCR
			f.lineBytes = 0
			if isEmpty && f.begun {
				f.readField()
				f.endHead()
				return i + 1
			}
			f.firstEnded = f.begun
			continue
		case f.lineBytes == 0 && c != ' ' && c != '\t':
			f.readField()
		}
		f.lineBytes++
		f.wasCR = c == '\r'
		if c == '\r' {
			continue
		}
		f.begun = true
		f.add(c)
		if !f.firstEnded {
			f.tail = f.tail<<8 | uint64(c)
		}
	}
	return len(b)
}

// begin expects a new head.
func (f *Framer) begin() {
	f.part, f.head, f.ended, f.rest = inHead, Head{}, false, 0
	f.begun, f.firstEnded, f.tail = false, false, 0
	f.lineBytes, f.n, f.length, f.chunked = 0, 0, 0, false
}

// add appends a byte to the field.
func (f *Framer) add(c byte) {
	if c == ' ' || c == '\t' || f.n == maxField {
		return
	}
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	f.field[f.n] = c
	f.n++
}

// readField takes what the field says about the body, and starts the next one.
func (f *Framer) readField() {
	name, value, _ := bytes.Cut(f.field[:f.n], []byte(":"))
	f.n = 0
	switch string(name) {
	case "content-length":
		if n, err := strconv.ParseInt(string(value), 10, 64); err == nil && n >= 0 {
			f.length = n
		}
	case "transfer-encoding":
		f.chunked = string(value) == "chunked"
	}
}

func (f *Framer) endHead() {
	switch {
	case f.chunked && f.tail != version10:
		f.part = inChunkSize
	case f.length > 0:
		f.part, f.rest = inBody, f.length
	}
	f.ended = true
}

// endData is called at the end of the body or of a chunk.
func (f *Framer) endData() {
	if f.part == inChunk {
		// The line behind the data is empty.
		f.part, f.n, f.rest = inChunkSize, 0, -1
		return
	}
	f.begin()
}

func (f *Framer) endChunkLine() {
	line := bytes.TrimSuffix(f.field[:f.n], []byte("\r"))
	f.n = 0
	switch {
	case f.part == inTrailer && len(line) == 0:
		f.begin()
	case f.part == inTrailer:
	case f.rest == -1:
		f.rest = 0
	default:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(size), 16, 64)
		switch {
		case err != nil || n > math.MaxInt64:
			f.part = unknown
		case n == 0:
			f.part = inTrailer
		default:
			f.part, f.rest = inChunk, int64(n)
		}
	}
}
