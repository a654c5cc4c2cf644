package httprelay

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/apex/log"

	"lavenderdeal/core/verdict"
)

// Guard recovers from a panic of a handler. It refuses the call as one that may
// have run, or aborts the connection if the response has been started:
//
//	guard := httprelay.Guard{}
//	defer guard.Recover(func(err error) { refuse(w, err) })
//	...
//	guard.MarkStarted()
//	httprelay.CopyResponse(w, answer)
type Guard struct {
	started bool
}

// MarkStarted records that the handler starts to write the response.
func (g *Guard) MarkStarted() { g.started = true }

// Recover logs a panic of the handler, which must defer it. If the response has not
// been started, it calls refuse with the error; otherwise it panics with
// http.ErrAbortHandler. A panic with http.ErrAbortHandler is passed on without a log
// line.
func (g *Guard) Recover(refuse func(error)) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && err == http.ErrAbortHandler { //nolint:errorlint // net/http compares it like this
		panic(cause)
	}
	log.WithField("panic", fmt.Sprint(cause)).Error("call handler panicked\n" + string(debug.Stack()))
	if g.started {
		panic(http.ErrAbortHandler)
	}
	refuse(verdict.Unknown("internalError", "the node failed while it served the call", nil))
}
