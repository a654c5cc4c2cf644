package node

import (
	"net/http"
	"testing"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/standin/malformed"
)

// Guards against bytes of a backend server that callers get as an answer although HTTP/1.1 does not
// allow them (MIXED), through one node and through two.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	server := startRawServer(t)
	near, far := startRawFleet(t, server.addr())
	client := newClient(t)
	for name, answer := range malformed.Answers("X: y") {
		t.Run(name, func(t *testing.T) {
			server.setAnswer(answer, false)
			for _, through := range []*Node{near, far} {
				for _, key := range []string{"", uuid(int(server.runs.Load()))} {
					before, recorded := server.runs.Load(), near.metrics.Counter("answersMalformed")
					o := send(client, through, testCall{path: "/", key: key})
					// An answer whose trailer is invalid has been passed on in part.
					isBroken := o.err != nil || o.status == http.StatusBadGateway && o.verdict == (verdict.MayHaveRun{}).String()
					if !isBroken {
						t.Errorf("key %q: got %v, want a broken connection or an answer that the call may have run", key, o)
					}
					if isHead := o.err == nil; isHead && near.metrics.Counter("answersMalformed") == recorded {
						t.Errorf("key %q: the node beside the server has not recorded why", key)
					}
					if n := server.runs.Load() - before; n != 1 {
						t.Errorf("key %q: the call ran %d times, want once", key, n)
					}
				}
			}
		})
	}
}
