// Package caller speaks HTTP with callers: what a call says of itself, and what
// a refusal looks like.
//
// # Requests
//
// [Parse] reads the headers of a call:
//
//   - Authorization: Bearer KEY, by which the customer is known.
//   - Lavenderdeal-Service names the service; without it, the first label of
//     Host does.
//   - Lavenderdeal-Timeout is the time that the caller waits, such as 800ms.
//   - Idempotency-Key makes the call run at most once however often it is sent.
//   - X-Request-Id is echoed.
//   - Lavenderdeal-Chain is sent along by a backend server that calls on.
//
// # Refusals
//
// [Refuse] answers with application/problem+json and the verdict, so that the
// caller knows whether the call may have run.
package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderdeal/core/verdict"
)

// Headers of the callers' interface.
const (
	HeaderService = "Lavenderdeal-Service"
	HeaderTimeout = "Lavenderdeal-Timeout"
	HeaderChain   = "Lavenderdeal-Chain"
	HeaderVerdict = "Lavenderdeal-Verdict"
	HeaderRule    = "Lavenderdeal-Rule"
	HeaderVersion = "Lavenderdeal-Version"
	// HeaderRepeated marks the kept answer of an earlier call.
	HeaderRepeated = "Lavenderdeal-Repeated"
	// HeaderCustomer tells the backend server who is calling.
	HeaderCustomer   = "Lavenderdeal-Customer"
	HeaderRequestID  = "X-Request-Id"
	HeaderIdempotent = "Idempotency-Key"
	headerPrefix     = "Lavenderdeal-"
	problemType      = "application/problem+json"
	maxRequestID     = 128
	maxIdempotency   = 255
)

// Request is what a call says of itself.
type Request struct {
	Key     string
	Service string
	// Timeout is the time that the caller waits, or 0 when it does not say.
	Timeout        time.Duration
	IdempotencyKey string
	// ID is the caller's own id of the request, which may be empty.
	ID string
	// Chain is the proof that a node gave its backend server, or "".
	Chain string
}

// Problem is the body of a refusal.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string `json:"verdict"`
	Rule    string `json:"rule"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retryAfter,omitempty"`
	RequestID  string  `json:"requestId,omitempty"`
}

// Parse reads the headers of a call. The error carries the verdict NotRun.
func Parse(r *http.Request) (Request, error) {
	request := Request{
		Service:        r.Header.Get(HeaderService),
		IdempotencyKey: r.Header.Get(HeaderIdempotent),
		ID:             r.Header.Get(HeaderRequestID),
		Chain:          r.Header.Get(HeaderChain),
	}
	if r.Method == http.MethodConnect {
		return request, verdict.Refuse("connectUnsupported", "a node opens no tunnels")
	}
	if upgrade := r.Header.Get("Upgrade"); upgrade != "" && !strings.EqualFold(upgrade, "h2c") {
		// An offer of h2c may be ignored; any other asks for a tunnel.
		return request, verdict.Refuse("upgradeUnsupported", "a node changes no protocols")
	}
	if request.Service == "" {
		request.Service, _, _ = strings.Cut(r.Host, ".")
	}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		request.Key = strings.TrimSpace(key)
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return request, verdict.Refuse("timeoutMalformed", HeaderTimeout+": want a positive duration such as 800ms")
		}
		request.Timeout = timeout
	}
	if len(request.ID) > maxRequestID {
		return request, verdict.Refuse("requestIdTooLong", HeaderRequestID+" has more than 128 bytes")
	}
	if len(request.IdempotencyKey) > maxIdempotency {
		return request, verdict.Refuse("idempotencyKeyTooLong", HeaderIdempotent+" has more than 255 bytes")
	}
	if len(r.Header.Values(HeaderIdempotent)) > 1 {
		return request, verdict.Refuse("idempotencyKeyTwice", HeaderIdempotent+" is sent twice")
	}
	return request, nil
}

// StripHeaders removes the headers of the callers' interface that are not meant
// for the other side.
func StripHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Refuse answers a call that has no answer of a backend server.
func Refuse(w http.ResponseWriter, v verdict.Verdict, requestID string) {
	problem := Problem{
		Type:      "about:blank",
		Status:    Status(v),
		Detail:    verdict.Detail(v),
		Verdict:   v.String(),
		Rule:      verdict.Rule(v),
		RequestID: requestID,
	}
	problem.Title = http.StatusText(problem.Status)
	h := w.Header()
	if notRun, ok := v.(verdict.NotRun); ok && notRun.RetryAfter > 0 {
		problem.RetryAfter = notRun.RetryAfter.Seconds()
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(problem.RetryAfter))))
	}
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	h.Set(HeaderVerdict, problem.Verdict)
	h.Set(HeaderRule, problem.Rule)
	h.Set("Content-Type", problemType)
	body, _ := json.Marshal(problem)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}

// Status returns the HTTP status of a refusal.
func Status(v verdict.Verdict) int {
	switch v := v.(type) {
	case verdict.NotRun:
		if status, ok := statusOfRule[v.Rule]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case verdict.MayHaveRun:
		if status, ok := statusOfDoubt[v.Rule]; ok {
			return status
		}
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// statusOfDoubt is the status of a refusal that may have run. Without an entry
// it is 502.
var statusOfDoubt = map[string]int{
	"deadlinePassed": http.StatusGatewayTimeout,
	"stillRunning":   http.StatusConflict,
	"outcomeUnknown": http.StatusConflict,
	"answerDropped":  http.StatusConflict,
	"homeLost":       http.StatusConflict,
	"homeMoved":      http.StatusConflict,
	"keyTooOld":      http.StatusConflict,
}

// statusOfRule is the status of a refusal that did not run. Without an entry it
// is 503.
var statusOfRule = map[string]int{
	"keyReused":             http.StatusUnprocessableEntity,
	"keyTimeInFuture":       http.StatusBadRequest,
	"keysUnsupported":       http.StatusNotImplemented,
	"connectUnsupported":    http.StatusNotImplemented,
	"upgradeUnsupported":    http.StatusNotImplemented,
	"peerCallMalformed":     http.StatusBadRequest,
	"peerKeyRefused":        http.StatusUnauthorized,
	"bodyBroken":            http.StatusBadRequest,
	"requestMalformed":      http.StatusBadRequest,
	"timeoutMalformed":      http.StatusBadRequest,
	"requestIdTooLong":      http.StatusBadRequest,
	"idempotencyKeyTooLong": http.StatusBadRequest,
	"idempotencyKeyTwice":   http.StatusBadRequest,
	"customerUnknown":       http.StatusUnauthorized,
	"chainRefused":          http.StatusUnauthorized,
	"serviceUnknown":        http.StatusNotFound,
	"planForbids":           http.StatusForbidden,
	"methodForbidden":       http.StatusForbidden,
	"pathForbidden":         http.StatusForbidden,
	"rateLimit":             http.StatusTooManyRequests,
	"concurrencyLimit":      http.StatusTooManyRequests,
	"queueFull":             http.StatusServiceUnavailable,
	"deadlinePassed":        http.StatusGatewayTimeout,
	"deadlineUnreachable":   http.StatusGatewayTimeout,
}
