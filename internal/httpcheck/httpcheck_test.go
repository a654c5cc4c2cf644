package httpcheck_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"lavenderdeal/internal/httpcheck"
)

const ok = "HTTP/1.1 200 OK\r\n"

// check checks the answer to a request with the method, n bytes at a time.
func check(method, answer string, n int) (*httpcheck.Checker, int, error) {
	c := &httpcheck.Checker{}
	c.Expect(method)
	total := 0
	for rest := []byte(answer); len(rest) > 0; {
		part := rest[:min(n, len(rest))]
		valid, err := c.Check(part)
		total += valid
		if err != nil {
			return c, total, err
		}
		rest = rest[len(part):]
	}
	return c, total, nil
}

func assertValid(t *testing.T, method, answer string, between bool) {
	t.Helper()
	for _, n := range []int{1, 7, len(answer)} {
		c, valid, err := check(method, answer, n)
		if err != nil || valid != len(answer) || c.IsBetween() != between {
			t.Fatalf("%d bytes at a time: %d of %d bytes are valid, error %v, IsBetween returns %v, want %v", n, valid, len(answer), err, c.IsBetween(), between)
		}
	}
}

// assertInvalid checks that an answer has no complete head, or no complete body, of valid bytes.
func assertInvalid(t *testing.T, method, answer string) {
	t.Helper()
	for _, n := range []int{1, 7, len(answer)} {
		c, valid, err := check(method, answer, n)
		if !errors.Is(err, httpcheck.ErrMalformed) || c.IsBetween() {
			t.Fatalf("%d bytes at a time: error %v, IsBetween returns %v, want an error", n, err, c.IsBetween())
		}
		raw, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer[:valid])), &http.Request{Method: method})
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, raw.Body)
		_ = raw.Body.Close()
		if err == nil {
			t.Fatalf("%d bytes at a time: the valid bytes %q are a whole answer", n, answer[:valid])
		}
	}
}

func TestValid(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		between        bool
	}{
		"length":                {"GET", ok + "Content-Length: 2\r\n\r\nok", true},
		"equal lengths":         {"GET", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", true},
		"no body":               {"GET", ok + "Content-Length: 0\r\n\r\n", true},
		"unfinished":            {"GET", ok + "Content-Length: 2\r\n\r\no", false},
		"no length":             {"GET", ok + "\r\nok", false},
		"chunks":                {"GET", ok + "Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n", true},
		"trailer":               {"GET", ok + "Transfer-Encoding: chunked\r\n\r\n000\r\nX: y\r\n\r\n", true},
		"head request":          {"HEAD", ok + "Content-Length: 2\r\n\r\n", true},
		"not modified":          {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", true},
		"no content":            {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", true},
		"interim":               {"GET", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", true},
		"two answers":           {"GET", ok + "Content-Length: 2\r\n\r\nok" + ok + "Content-Length: 2\r\n\r\nok", true},
		"HTTP/1.0":              {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"line feeds":            {"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", true},
		"no reason":             {"GET", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", true},
		"no reason, no blank":   {"GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", true},
		"values":                {"GET", ok + "X:\r\nY:\ta \xe9 b\t\r\nContent-Length:0 \r\n\r\n", true},
		"a tunnel was refused":  {"CONNECT", "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno", true},
		"a server's own status": {"GET", "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) { assertValid(t, c.method, c.answer, c.between) })
	}
}

// Guards against bytes that a parser takes for an answer although they are none by RFC 9112.
func TestInvalid(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":                 "nothing of use\r\n\r\n",
		"an empty line first":       "\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"another protocol":          "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"a later version":           "HTTP/1.10 200 OK\r\nContent-Length: 0\r\n\r\n",
		"lower case":                "http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"two blanks":                "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
		"status 000":                "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
		"status 099":                "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
		"status 600":                "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
		"status of four digits":     "HTTP/1.1 2000\r\nContent-Length: 0\r\n\r\n",
		"a signed status":           "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n\r\n",
		"a control byte":            "HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n",
		"a blank before the fields": ok + " X: y\r\nContent-Length: 0\r\n\r\n",
		"a folded field":            ok + "X: y\r\n z\r\nContent-Length: 0\r\n\r\n",
		"a blank in a name":         ok + "X y: 1\r\nContent-Length: 0\r\n\r\n",
		"a blank after a name":      ok + "Content-Length : 0\r\n\r\n",
		"a control byte in a name":  ok + "X\x01: y\r\nContent-Length: 0\r\n\r\n",
		"a control byte in a value": ok + "X: \x01\r\nContent-Length: 0\r\n\r\n",
		"a carriage return":         ok + "X: a\rb\r\nContent-Length: 0\r\n\r\n",
		"no name":                   ok + ": y\r\nContent-Length: 0\r\n\r\n",
		"no colon":                  ok + "X\r\nContent-Length: 0\r\n\r\n",
		"an unending line":          ok + "X: " + strings.Repeat("a", 70<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"unequal lengths":           ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"a list of lengths":         ok + "Content-Length: 2, 2\r\n\r\nab",
		"an empty length":           ok + "Content-Length:\r\n\r\n",
		"a signed length":           ok + "Content-Length: +2\r\n\r\nab",
		"a negative length":         ok + "Content-Length: -1\r\n\r\n",
		"a length beyond 63 bits":   ok + "Content-Length: 9223372036854775808\r\n\r\n",
		"a length and chunks":       ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"an unknown encoding":       ok + "Transfer-Encoding: gzip\r\n\r\n",
		"two encodings":             ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"chunked twice":             ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"no content with a body":    "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
		"no content in chunks":      "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"an interim body":           "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nok",
		"another protocol, asked":   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"a chunk without a size":    ok + "Transfer-Encoding: chunked\r\n\r\n;x\r\n\r\n",
		"a chunk's size in words":   ok + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
		"a chunk's negative size":   ok + "Transfer-Encoding: chunked\r\n\r\n-1\r\n0\r\n\r\n",
		"a chunk's size too long":   ok + "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n",
		"a blank after a size":      ok + "Transfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n",
		"a control in an extension": ok + "Transfer-Encoding: chunked\r\n\r\n1;\x01\r\na\r\n0\r\n\r\n",
		"a size's bare line feed":   ok + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
		"a chunk that is longer":    ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
		"a trailer's invalid name":  ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX y: z\r\n\r\n",
		"a trailer's invalid value": ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: \x00\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { assertInvalid(t, http.MethodGet, answer) })
	}
	t.Run("a tunnel", func(t *testing.T) { assertInvalid(t, http.MethodConnect, ok+"Content-Length: 0\r\n\r\n") })
	t.Run("unending extensions", func(t *testing.T) {
		chunk := "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"
		assertInvalid(t, http.MethodGet, ok+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, 70)+"0\r\n\r\n")
	})
}

// Guards against an invalid answer whose end is taken for valid, and against a valid answer that is
// lost since invalid bytes follow it in the same packet.
func TestInvalidAfterValid(t *testing.T) {
	const answer = ok + "Content-Length: 2\r\n\r\nok"
	c, valid, err := check(http.MethodGet, answer+"nothing of use\r\n", 1000)
	if valid != len(answer) || !errors.Is(err, httpcheck.ErrMalformed) || c.IsBetween() {
		t.Fatalf("%d bytes are valid, error %v, want %d and an error", valid, err, len(answer))
	}
	if valid, err := c.Check([]byte(answer)); valid != 0 || err == nil {
		t.Fatalf("after an error %d bytes are valid, error %v", valid, err)
	}
	c.Expect(http.MethodGet)
	if valid, err := c.Check([]byte(answer)); valid != len(answer) || err != nil || !c.IsBetween() {
		t.Fatalf("the next answer: %d bytes are valid, error %v", valid, err)
	}
}

// FuzzCheck checks that the verdict does not depend on how the bytes are split, and that net/http reads
// from the valid bytes what they say.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		ok + "Content-Length: 2\r\n\r\nok",
		ok + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + ok + "\r\nopen",
		"HTTP/1.0 304\nContent-Length: 2\n\n",
		ok + "Content-Length : 2\r\nX y: \x01\r\n\r\nok",
	} {
		f.Add([]byte(seed), 3, false)
	}
	f.Fuzz(func(t *testing.T, answer []byte, n int, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		whole, valid, err := check(method, string(answer), max(1, len(answer)))
		split, splitValid, splitErr := check(method, string(answer), 1+(n&0xff))
		if fmt.Sprint(err) != fmt.Sprint(splitErr) || err == nil && valid != splitValid || whole.IsBetween() != split.IsBetween() {
			t.Fatalf("whole: %d, %v, %v; split: %d, %v, %v", valid, err, whole.IsBetween(), splitValid, splitErr, split.IsBetween())
		}
		reader := bufio.NewReader(bytes.NewReader(answer[:valid]))
		for {
			raw, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				if whole.IsBetween() && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("net/http cannot read the valid answer %q: %v", answer[:valid], err)
				}
				return
			}
			if raw.StatusCode < 100 || raw.StatusCode > 599 {
				t.Fatalf("the status %d is valid", raw.StatusCode)
			}
			for name := range raw.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Fatalf("the field name %q is valid", name)
				}
			}
			_, err = io.Copy(io.Discard, raw.Body)
			_ = raw.Body.Close()
			if err != nil {
				if whole.IsBetween() {
					t.Fatalf("net/http cannot read the body of the valid answer %q: %v", answer[:valid], err)
				}
				return
			}
		}
	})
}
