package httprelay

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/apex/log"

	"lavenderdeal/core/verdict"
)

// Guard turns a panic of a handler into a refusal that says that the call may
// have run, or into a broken connection when the answer has begun:
//
//	guard := relay.Guard{}
//	defer guard.Recover(func(err error) { refuse(w, err) })
//	...
//	guard.Started()
//	relay.Answer(w, answer)
type Guard struct {
	started bool
}

// MarkStarted says that the answer begins.
func (g *Guard) MarkStarted() { g.started = true }

// Recover is deferred by the handler.
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
