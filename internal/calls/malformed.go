package calls

import (
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpcheck"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/schema/messages"
)

// recordMalformed counts and logs the error of a call whose answer is none by HTTP/1.1. It does
// nothing for other errors. The answer came from the backend server or the node that from names.
func recordMalformed(m *metrics.Set, call messages.Call, from string, err error) {
	if !errors.Is(err, httpcheck.ErrMalformed) {
		return
	}
	m.Add("answersMalformed", 1)
	log.WithFields(log.Fields{"request": call.Id, "from": from}).WithError(err).Warn("answerMalformed")
}
