// Package caller decodes the HTTP headers of calls and encodes the refusals that
// callers get.
//
// # Requests
//
// [Parse] reads the headers of a call:
//
//   - Authorization: Bearer KEY identifies the customer.
//   - Lavenderdeal-Service names the service. The default is the first label of
//     Host.
//   - Lavenderdeal-Timeout is the time that the caller waits, such as 800ms.
//   - Idempotency-Key makes the call run at most once, however often it is sent.
//   - X-Request-Id is returned in the answer.
//   - Lavenderdeal-Chain is sent by a backend server that makes a call on behalf of
//     the one it runs.
//
// # Refusals
//
// [Refuse] answers with application/problem+json. The verdict in it states whether
// the call may have run.
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

// Headers of calls and their answers.
const (
	HeaderService = "Lavenderdeal-Service"
	HeaderTimeout = "Lavenderdeal-Timeout"
	HeaderChain   = "Lavenderdeal-Chain"
	HeaderVerdict = "Lavenderdeal-Verdict"
	HeaderRule    = "Lavenderdeal-Rule"
	HeaderVersion = "Lavenderdeal-Version"
	// HeaderRepeated marks the stored answer of an earlier call with the same
	// idempotency key.
	HeaderRepeated = "Lavenderdeal-Repeated"
	// HeaderCustomer has the name of the customer, for the backend server.
	HeaderCustomer       = "Lavenderdeal-Customer"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Lavenderdeal-"
	problemType          = "application/problem+json"
	// maxRequestID and maxIdempotencyKey are the maximum lengths in bytes.
	maxRequestID      = 128
	maxIdempotencyKey = 255
)

// Request holds the decoded headers of a call.
type Request struct {
	// Key is the customer's key.
	Key     string
	Service string
	// Timeout is the time that the caller waits, or 0 if it is not given.
	Timeout        time.Duration
	IdempotencyKey string
	// ID is the id that the caller gave the request, which may be empty.
	ID string
	// Chain is the signed header of the call on whose behalf a backend server makes this
	// one, or "" if the call is not nested in another one.
	Chain string
}

// Problem is the body of a refusal: the problem details of RFC 9457 with the fields
// verdict, rule, retryAfter and requestId in addition.
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

// Parse decodes the headers of a call. The error has the verdict NotRun.
func Parse(r *http.Request) (Request, error) {
	request := Request{
		Service:        r.Header.Get(HeaderService),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		ID:             r.Header.Get(HeaderRequestID),
		Chain:          r.Header.Get(HeaderChain),
	}
	if r.Method == http.MethodConnect {
		return request, verdict.Refuse("connectUnsupported", "a node opens no tunnels")
	}
	if upgrade := r.Header.Get("Upgrade"); upgrade != "" && !strings.EqualFold(upgrade, "h2c") {
		// A server may ignore an upgrade to h2c; any other one requests a tunnel.
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
	if len(request.IdempotencyKey) > maxIdempotencyKey {
		return request, verdict.Refuse("idempotencyKeyTooLong", HeaderIdempotencyKey+" has more than 255 bytes")
	}
	if len(r.Header.Values(HeaderIdempotencyKey)) > 1 {
		return request, verdict.Refuse("idempotencyKeyTwice", HeaderIdempotencyKey+" is sent twice")
	}
	return request, nil
}

// StripHeaders removes all headers with the prefix Lavenderdeal-, which are not
// forwarded.
func StripHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Refuse answers a call with the status and the problem of a verdict, in place of an
// answer of a backend server.
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

// Status returns the HTTP status of a verdict.
func Status(v verdict.Verdict) int {
	switch v := v.(type) {
	case verdict.NotRun:
		if status, ok := notRunStatus[v.Rule]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case verdict.MayHaveRun:
		if status, ok := mayHaveRunStatus[v.Rule]; ok {
			return status
		}
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// mayHaveRunStatus holds the HTTP status by rule for calls that may have run. The
// default is 502.
var mayHaveRunStatus = map[string]int{
	"deadlinePassed": http.StatusGatewayTimeout,
	"stillRunning":   http.StatusConflict,
	"outcomeUnknown": http.StatusConflict,
	"answerDropped":  http.StatusConflict,
	"homeLost":       http.StatusConflict,
	"homeMoved":      http.StatusConflict,
	"keyTooOld":      http.StatusConflict,
}

// notRunStatus holds the HTTP status by rule for calls that did not run. The default is
// 503.
var notRunStatus = map[string]int{
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
