package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/withdrawal"
)

const (
	headerQuestion = "Lavenderdeal-Ask"
	headerState    = "Lavenderdeal-State"
	questionFields = 4

	// The flags of a question on the wire.
	flagWithdraw = 'w'
	flagFetch    = 'f'
)

// Question asks the server's node for the state of a request that was forwarded to it.
type Question struct {
	// ID is the ID of the request.
	ID string
	// Epoch identifies the process of the server's node that the request was sent to.
	// Another process knows nothing of the request.
	Epoch int
	// TimeLeft is how much longer the request's caller waits.
	TimeLeft time.Duration
	// Withdraw is set if a request that waits is to be withdrawn.
	Withdraw bool
	// Fetch is set if the answer of a request that has ended is to be sent once more.
	Fetch bool
}

// WriteQuestion encodes the question into a header.
func WriteQuestion(h http.Header, q Question) {
	var flags []byte
	if q.Withdraw {
		flags = append(flags, flagWithdraw)
	}
	if q.Fetch {
		flags = append(flags, flagFetch)
	}
	h[headerQuestion] = []string{strings.Join([]string{
		strconv.Itoa(q.Epoch), strconv.FormatInt(q.TimeLeft.Milliseconds(), 10), string(flags), q.ID,
	}, ";")}
}

// IsQuestion returns true if a request's header contains a question.
func IsQuestion(h http.Header) bool { return len(h[headerQuestion]) > 0 }

// ReadQuestion decodes the question. The ID may contain semicolons. Unknown flags are
// ignored.
func ReadQuestion(h http.Header) (Question, error) {
	text := h.Get(headerQuestion)
	f := strings.SplitN(text, ";", questionFields)
	if len(f) != questionFields || f[3] == "" {
		return Question{}, errors.Newf("%s %q: want epoch, milliseconds, flag and ID", headerQuestion, text)
	}
	epoch, err := strconv.Atoi(f[0])
	if err != nil {
		return Question{}, errors.Wrap(err, headerQuestion)
	}
	left, err := milliseconds(f[1])
	return Question{
		ID: f[3], Epoch: epoch, TimeLeft: left,
		Withdraw: strings.ContainsRune(f[2], flagWithdraw), Fetch: strings.ContainsRune(f[2], flagFetch),
	}, err
}

// WriteState encodes the answer to a question into a header.
func WriteState(h http.Header, s withdrawal.State) { h[headerState] = []string{s.String()} }

// ReadState decodes the answer to a question. It returns false if there is none: nodes of
// earlier versions answer as to a probe.
func ReadState(h http.Header) (withdrawal.State, bool) {
	text := h.Get(headerState)
	for s := withdrawal.Unknown; s <= withdrawal.Receiving; s++ {
		if s.String() == text {
			return s, true
		}
	}
	return withdrawal.Unknown, false
}
