// Package operator serves a node's status, metrics and reasons to operators.
//
// All paths answer with JSON:
//
//	/status   what the node is and has in force
//	/explain  the newest changes of state with their evidence
//	/metrics  counters and histograms
package operator

import (
	"encoding/json"
	"expvar"
	"net/http"

	"lavenderdeal/core/explain"
)

// Status is what a node says of itself.
type Status struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service"`
	State   string `json:"state"`
	// Version is the version of the plans in force, or 0.
	Version uint64         `json:"version"`
	Members map[string]int `json:"membersByState"`
	Release string         `json:"release"`
}

// Handler answers on the operator port.
type Handler struct {
	Status  func() Status
	Ring    *explain.Ring
	Metrics *expvar.Map
}

// ServeHTTP answers a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/status":
		_ = json.NewEncoder(w).Encode(h.Status())
	case "/explain":
		_ = json.NewEncoder(w).Encode(h.Ring.Records())
	case "/metrics":
		_, _ = w.Write([]byte(h.Metrics.String()))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
