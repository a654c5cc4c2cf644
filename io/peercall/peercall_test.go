package peercall_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/standin/malformed"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/peercall"
	"lavenderdeal/schema/messages"
)

// do sends a call to a node that answers with the text and closes the connection.
func do(t *testing.T, answer string) (*http.Response, error) {
	t.Helper()
	addr := testserver.Accept(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
	client := peercall.New(secret.New("a key of sixteen characters"))
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	r := httptest.NewRequest(http.MethodGet, "/stock", nil)
	response, _, err := client.Do(ctx, addr, messages.Call{Id: "x"}, r, http.NoBody)
	return response, err
}

// Guards against bytes of a node that are taken for the answer of a server although HTTP/1.1 does not
// allow them, or although nobody can tell whether they are whole (MIXED).
func TestMalformedAnswers(t *testing.T) {
	answers := malformed.Answers(caller.HeaderVerdict + ": " + (verdict.Ran{}).String())
	answers["no length"] = "HTTP/1.1 200 OK\r\n" + caller.HeaderVerdict + ": " + (verdict.Ran{}).String() + "\r\n\r\nok"
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			response, err := do(t, answer)
			if err == nil {
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
			}
			if _, ok := verdict.Of(err).(verdict.MayHaveRun); !ok {
				t.Fatalf("got error %v, want one of a call that may have run", err)
			}
		})
	}
}
