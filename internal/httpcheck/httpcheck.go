// Package httpcheck checks the bytes that a client receives over a connection against the rules
// of HTTP/1.1 for answers (RFC 9112, sections 2 to 7), before they are parsed.
//
// The parser of net/http is lenient: it takes statuses and field names that do not exist, and
// reads a body by one of two lengths that contradict each other. A proxy that passes such an
// answer on may pass on another one than the server's. With a [Checker] below the parser, such
// bytes are an error:
//
//	var c httpcheck.Checker
//	c.Expect(http.MethodGet)
//	n, err := conn.Read(b)
//	valid, invalid := c.Check(b[:n])
//
// # Leniency
//
// A line of a head may end without a carriage return, and the blank before a missing reason phrase may
// be missing, as the standard allows recipients. A status without a body may have a Content-Length of
// zero.
package httpcheck

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxLine bounds a line of a head, of a trailer and of a chunk's size, in bytes.
	maxLine = 64 << 10
	// maxExtensions bounds the extensions of all chunks of an answer, in bytes.
	maxExtensions = 64 << 10
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
)

// ErrMalformed marks the errors of bytes that are no answer.
var ErrMalformed = errors.New("no answer by HTTP/1.1")

// part is the part of an answer to which the next byte belongs.
type part int

const (
	// statusLine is the part at which an answer begins.
	statusLine part = iota
	fieldLine
	// fixedBody is a body with a length, and openBody one that ends with the connection.
	fixedBody
	openBody
	chunkSize
	chunkData
	chunkEnd
	trailerLine
)

// Checker checks the answers on one connection. The zero value expects the answer to a GET
// request. It is not safe for concurrent use.
type Checker struct {
	method string
	part   part
	// line holds the bytes of an unfinished line.
	line []byte
	// started is set while an answer is unfinished.
	started bool
	err     error

	// The head that is being read: the minor version, the status, and the fields that determine the
	// length of the body.
	minor     byte
	status    int
	lengths   []string
	encodings []string

	// left is what is left of a body with a length or of a chunk, in bytes, and extensions the bytes
	// of the extensions of chunks.
	left       int64
	extensions int
}

// Expect begins a new answer, to a request with the method.
func (c *Checker) Expect(method string) {
	*c = Checker{method: method, line: c.line[:0]}
}

// IsBetween returns true if all answers so far were complete and valid and no byte of a further one
// was checked.
func (c *Checker) IsBetween() bool { return c.err == nil && !c.started }

// Check checks the bytes that were received next. It returns how many of them are valid; an invalid
// line is invalid from its beginning. After an error, which is marked with ErrMalformed, it returns the
// same error.
func (c *Checker) Check(b []byte) (valid int, err error) {
	for valid < len(b) && c.err == nil {
		n, err := c.next(b[valid:])
		if err != nil {
			c.err = errors.Mark(err, ErrMalformed)
			break
		}
		valid += n
	}
	return valid, c.err
}

// next checks the bytes up to the end of the current part and returns their number.
func (c *Checker) next(b []byte) (int, error) {
	c.started = true
	switch c.part {
	case openBody:
		return len(b), nil
	case fixedBody, chunkData:
		n := min(int64(len(b)), c.left)
		if c.left -= n; c.left == 0 {
			if c.part == chunkData {
				c.part = chunkEnd
			} else {
				c.end()
			}
		}
		return int(n), nil
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(c.line)+len(b) > maxLine {
			return 0, errors.Newf("a line has more than %d bytes", maxLine)
		}
		c.line = append(c.line, b...)
		return len(b), nil
	}
	if len(c.line)+end > maxLine {
		return 0, errors.Newf("a line has more than %d bytes", maxLine)
	}
	line := b[:end]
	if len(c.line) > 0 {
		line = append(c.line, line...)
		c.line = line[:0]
	}
	return end + 1, c.checkLine(line)
}

// checkLine checks a line without its line feed.
func (c *Checker) checkLine(line []byte) error {
	text, hasReturn := bytes.CutSuffix(line, []byte("\r"))
	if bytes.IndexByte(text, '\r') >= 0 {
		return errors.Newf("line %q has a carriage return", excerpt(line))
	}
	switch c.part {
	case statusLine:
		return c.checkStatus(text)
	case fieldLine:
		if len(text) == 0 {
			return c.endHead()
		}
		return c.checkField(text)
	}
	if !hasReturn {
		return errors.Newf("the line %q of a body in chunks ends without a carriage return", excerpt(line))
	}
	switch {
	case c.part == chunkSize:
		return c.checkChunkSize(text)
	case c.part == chunkEnd && len(text) > 0:
		return errors.Newf("a chunk is followed by %q, want the end of the line", excerpt(line))
	case c.part == chunkEnd:
		c.part = chunkSize
	case len(text) == 0:
		c.end()
	default:
		_, _, err := cutField(text)
		return err
	}
	return nil
}

// end ends an answer.
func (c *Checker) end() { c.Expect(c.method) }

// checkStatus checks a status line: HTTP/1.1 200 reason.
func (c *Checker) checkStatus(line []byte) error {
	const version, code = "HTTP/1.", len("HTTP/1.1 ")
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(line) < code+3 || !isDigit(rest[0]) || rest[1] != ' ' {
		return errors.Newf("status line %q, want HTTP/1.1 and three digits", excerpt(line))
	}
	c.minor = rest[0] - '0'
	status, reason := line[code:code+3], line[code+3:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errors.Newf("status line %q, want a status from 100 to 599", excerpt(line))
	}
	c.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errors.Newf("status line %q, want a reason phrase after a blank", excerpt(line))
	}
	c.part = fieldLine
	return nil
}

// checkField checks a field of a head.
func (c *Checker) checkField(line []byte) error {
	name, value, err := cutField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.lengths = append(c.lengths, string(value))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.encodings = append(c.encodings, string(value))
	}
	return nil
}

// cutField returns the name and the value of a field. A line that continues the one before has no
// valid name.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, errors.Newf("field line %q, want a token, a colon and a value", excerpt(line))
	}
	if !isText(value) {
		return nil, nil, errors.Newf("field %s has the value %q with control characters", name, excerpt(value))
	}
	return name, bytes.Trim(value, " \t"), nil
}

// endHead determines from a whole head how the body ends.
func (c *Checker) endHead() error {
	length, hasLength, err := c.length()
	if err != nil {
		return err
	}
	isChunked := len(c.encodings) > 0
	isInterim := c.status < 200
	switch {
	case c.status == http.StatusSwitchingProtocols, c.method == http.MethodConnect && c.status < 300 && !isInterim:
		return errors.Newf("status %d changes the protocol, which was not requested", c.status)
	case isChunked && (len(c.encodings) > 1 || !strings.EqualFold(c.encodings[0], "chunked")):
		return errors.Newf("transfer encodings %q, want chunked alone", c.encodings)
	case isChunked && c.minor == 0:
		return errors.New("an answer of HTTP/1.0 has a transfer encoding")
	case isChunked && hasLength:
		return errors.Newf("an answer has a transfer encoding and the Content-Length %d", length)
	case (isInterim || c.status == http.StatusNoContent) && (isChunked || length > 0):
		return errors.Newf("an answer with the status %d has a body", c.status)
	}
	switch {
	case isInterim, c.method == http.MethodHead, c.status == http.StatusNoContent, c.status == http.StatusNotModified,
		hasLength && length == 0:
		c.end()
	case isChunked:
		c.part = chunkSize
	case hasLength:
		c.part, c.left = fixedBody, length
	default:
		c.part = openBody
	}
	return nil
}

// length returns the value of Content-Length. Several fields are valid if they are equal, a list is
// not.
func (c *Checker) length() (n int64, ok bool, err error) {
	if len(c.lengths) == 0 {
		return 0, false, nil
	}
	for i, text := range c.lengths {
		value, err := strconv.ParseUint(text, 10, 63)
		if err != nil || i > 0 && int64(value) != n {
			return 0, false, errors.Newf("Content-Length %q, want one number", c.lengths)
		}
		n = int64(value)
	}
	return n, true, nil
}

// checkChunkSize checks the line before the data of a chunk.
func (c *Checker) checkChunkSize(line []byte) error {
	digits := 0
	for digits < len(line) && isHexDigit(line[digits]) {
		digits++
	}
	size, extension := line[:digits], line[digits:]
	trimmed := bytes.TrimLeft(extension, " \t")
	isExtension := len(extension) == 0 || len(trimmed) > 0 && trimmed[0] == ';'
	if c.extensions += len(extension); c.extensions > maxExtensions {
		return errors.Newf("the extensions of chunks have more than %d bytes", maxExtensions)
	}
	if digits == 0 || digits > maxSizeDigits || !isExtension || !isText(extension) {
		return errors.Newf("size of a chunk %q, want hexadecimal digits", excerpt(line))
	}
	// So few digits fit.
	n, _ := strconv.ParseInt(string(size), 16, 64)
	c.part, c.left = chunkData, n
	if n == 0 {
		c.part = trailerLine
	}
	return nil
}

// excerpt returns the beginning of a line for an error.
func excerpt(line []byte) string {
	const length = 60
	return string(line[:min(len(line), length)])
}

func isToken(text []byte) bool {
	for _, b := range text {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(text) > 0
}

// isText returns true if the text has no control characters but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isHexDigit(b byte) bool {
	return isDigit(b) || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}
