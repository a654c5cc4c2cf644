// Package operator serves the HTTP interface of a node for operators: its status,
// metrics, state changes and commands. [Client] is a client of it.
//
// # Reads
//
// Reads need no key and are answered with JSON:
//
//	GET /status   the node's identity, state and plan version
//	GET /explain  the most recent state changes and their causes
//	GET /metrics  counters and histograms
//
// # Writes
//
// Writes need the operator key as a bearer token. A node without an operator key in
// its settings refuses all writes.
//
//	POST /quarantine/lift?fingerprint=F  accepts calls with the fingerprint again
//	POST /drain                          stops the node in the same way as SIGTERM
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strings"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/quarantine"
	"lavenderdeal/internal/metrics"
)

// maxFingerprint is the maximum length of a fingerprint in bytes.
const maxFingerprint = 256

// Status is the status of a node.
type Status struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service"`
	State   string `json:"state"`
	// Version is the version of the plans in force, or 0 if there is none.
	Version uint64 `json:"version"`
	// VersionSource is the source from which the node learned the minimum version that
	// it may serve, or the reason why the node is not ready.
	VersionSource string `json:"versionSource"`
	// Reader is set if the node reads from the platform for its zone.
	Reader bool `json:"reader"`
	// HomesEpoch is the epoch of the roster of homes, which are the nodes that run the
	// calls with an idempotency key, or 0 if there is no roster yet. Calls with a key
	// run only while HomesConfirmed is set.
	HomesEpoch     uint64 `json:"homesEpoch"`
	HomesConfirmed bool   `json:"homesConfirmed"`
	// HomesInForce is the number of nodes that are homes of the keys created now. A node
	// that joined is one some time later.
	HomesInForce int `json:"homesInForce"`
	// Members is the number of the fleet's members by their state, as this node sees
	// them.
	Members map[string]int `json:"membersByState"`
	// Release is the version of the node's software.
	Release string `json:"release"`
	// Ejected lists the servers to which this node temporarily sends no calls.
	Ejected []string `json:"ejected"`
	// Quarantined lists the fingerprints whose calls this node refuses, with the crashes
	// that caused it.
	Quarantined []quarantine.Entry `json:"quarantined"`
}

// Quarantine is the node's list of fingerprints whose calls are refused because they
// crashed backend servers. Retries of a call have the same fingerprint.
type Quarantine interface {
	// Lift removes the fingerprint from the list. It returns false if the fingerprint is
	// not in quarantine.
	Lift(fingerprint string) bool
}

// Drainer starts the graceful shutdown of a node.
type Drainer interface {
	// Drain starts the graceful shutdown and returns without waiting for its end. A
	// second call has no effect.
	Drain()
}

// Problem is the body of a refusal.
type Problem struct {
	// Rule is the name of the rule that refused the request, in camel case.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Lifted is the answer to /quarantine/lift.
type Lifted struct {
	Fingerprint string `json:"fingerprint"`
}

// Draining is the answer to /drain.
type Draining struct {
	State string `json:"state"`
}

// Handler handles requests to the operator port.
type Handler struct {
	Status func() Status
	// Ring holds the state changes that /explain returns.
	Ring    *explain.Ring
	Metrics *expvar.Map
	// Key is the operator key. If it is empty, all writes are refused.
	Key string
	// Counters counts writes and refused keys. It may be nil.
	Counters *metrics.Set
	// Quarantine may be nil. Then no fingerprint is in quarantine.
	Quarantine Quarantine
	// Drainer may be nil. Then /drain is refused.
	Drainer Drainer
}

// ServeHTTP handles a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/status":
		read(w, r, h.Status)
	case "/explain":
		read(w, r, h.Ring.Records)
	case "/metrics":
		read(w, r, func() json.RawMessage { return json.RawMessage(h.Metrics.String()) })
	case "/quarantine/lift":
		write(h, w, r, h.lift)
	case "/drain":
		write(h, w, r, h.drain)
	default:
		refuse(w, http.StatusNotFound, "pathUnknown", "no such path")
	}
}

// read answers a GET request with a value.
func read[T any](w http.ResponseWriter, r *http.Request, value func() T) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		refuse(w, http.StatusMethodNotAllowed, "methodForbidden", "only GET reads")
		return
	}
	answer(w, http.StatusOK, value())
}

// write answers a POST request that has the operator key.
func write[T any](h *Handler, w http.ResponseWriter, r *http.Request, do func(*http.Request) (T, *refusal)) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		refuse(w, http.StatusMethodNotAllowed, "methodForbidden", "only POST writes")
		return
	}
	if h.Key == "" {
		refuse(w, http.StatusForbidden, "operatorKeyNotSet", "the node has no operator key, so it takes no writes")
		return
	}
	if !h.hasKey(r) {
		h.count("operatorKeysRefused")
		refuse(w, http.StatusUnauthorized, "operatorKeyWrong", "the operator key is missing or wrong")
		return
	}
	value, refused := do(r)
	if refused != nil {
		refuse(w, refused.status, refused.rule, refused.detail)
		return
	}
	h.count("operatorWrites")
	answer(w, http.StatusOK, value)
}

// refusal is the status and the problem of a refused request.
type refusal struct {
	status       int
	rule, detail string
}

// hasKey returns true if the request has the operator key. It compares hashes, so that
// the time reveals neither the content nor the length of the key.
func (h *Handler) hasKey(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(h.Key))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1 && ok
}

func (h *Handler) lift(r *http.Request) (Lifted, *refusal) {
	fingerprint := r.URL.Query().Get("fingerprint")
	switch {
	case fingerprint == "" || len(fingerprint) > maxFingerprint:
		return Lifted{}, &refusal{http.StatusBadRequest, "fingerprintInvalid", "fingerprint: want 1 to 256 bytes"}
	case h.Quarantine == nil || !h.Quarantine.Lift(fingerprint):
		return Lifted{}, &refusal{http.StatusNotFound, "fingerprintUnknown", "the fingerprint is not in quarantine"}
	}
	return Lifted{Fingerprint: fingerprint}, nil
}

func (h *Handler) drain(*http.Request) (Draining, *refusal) {
	if h.Drainer == nil {
		return Draining{}, &refusal{http.StatusNotImplemented, "drainNotSupported", "this node is drained by SIGTERM only"}
	}
	h.Drainer.Drain()
	return Draining{State: "leaving"}, nil
}

func (h *Handler) count(name string) {
	if h.Counters != nil {
		h.Counters.Add(name, 1)
	}
}

func refuse(w http.ResponseWriter, status int, rule, detail string) {
	answer(w, status, Problem{Rule: rule, Detail: detail})
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
