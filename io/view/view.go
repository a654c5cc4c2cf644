// Package view is what a node shows to its operators of its decisions: roll-outs, the limits
// of client accounts, and what it believes of servers. It can be read only, and holds
// neither keys nor contents of requests. A node serves it beside its metrics:
//
//	GET /view?service=S&account=A  all, or that of one service and one account
//
// [Fetch] reads it:
//
//	v, err := view.Fetch(ctx, addr, view.Filter{Service: "bookings"})
package view

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpclient"
)

const (
	// Path is the path of the view.
	Path = "/view"

	// maxRollouts, maxAccounts and maxServers bound the lists of a view.
	maxRollouts = 200
	maxAccounts = 200
	maxServers  = 1000

	fetchTimeout = 5 * time.Second
	maxBytes     = 16 << 20
)

// The parameters of a request for the view.
const (
	paramService = "service"
	paramAccount = "account"
)

// View is what a node shows.
type View struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Version is the configuration in force, or 0.
	Version uint64 `json:"version"`
	// Rollouts, Accounts and Servers are sorted by name, and at most 200, 200 and 1000.
	// LeftOut is the number of those that a list has no room for.
	Rollouts []Rollout `json:"rollouts"`
	Accounts []Account `json:"accounts"`
	Servers  []Server  `json:"servers"`
	LeftOut  int       `json:"leftOut,omitempty"`
	// Own is the server beside the node.
	Own Own `json:"own"`
}

// Rollout is the state of the last order for a service.
type Rollout struct {
	Service string `json:"service"`
	Order   string `json:"order"`
	Target  string `json:"target"`
	// Phase is trial, cutOver, completed, rolledBack or withdrawn, and Reason says why it
	// ended. Settled is set once the store holds that.
	Phase   string `json:"phase"`
	Reason  string `json:"reason,omitempty"`
	Settled bool   `json:"settled"`
	// AgeMs is the time since a node first saw the order.
	AgeMs      int `json:"ageMs"`
	DurationMs int `json:"durationMs"`
	// Decider is the node that decides, as this node sees it.
	Decider string `json:"decider"`
	// OnTrial holds the nodes beside the servers on trial, and Weight is the part of the
	// requests that is for them.
	OnTrial []string `json:"onTrial,omitempty"`
	Weight  float64  `json:"weight"`
	// Held lists the versions of earlier orders that get nothing.
	Held []string `json:"held,omitempty"`
	// Requests counts those of this node since the order, and ForTrial those among them for
	// servers on trial.
	Requests uint64 `json:"requests"`
	ForTrial uint64 `json:"forTrial"`
	// Evidence is that of the last step. Only the deciding node has it.
	Evidence *Evidence `json:"evidence,omitempty"`
}

// Evidence is what is known of both versions.
type Evidence struct {
	OldServers int `json:"oldServers"`
	NewServers int `json:"newServers"`
	// Suspect is the node beside a new server that is worse than the others, if any.
	Suspect string  `json:"suspect,omitempty"`
	Routes  []Route `json:"routes"`
}

// Route is the evidence of one route since the order.
type Route struct {
	Route string `json:"route"`
	Old   Tally  `json:"old"`
	New   Tally  `json:"new"`
}

// Tally counts answers. MedianMs is that of the running times, or 0 if there are none.
type Tally struct {
	Runs     int     `json:"runs"`
	Failed   int     `json:"failed"`
	MedianMs float64 `json:"medianMs"`
}

// Account is a client account as a node sees it.
type Account struct {
	Account string `json:"account"`
	// Rate and Burst are the limit over all nodes, or 0.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// The counts are those of requests of callers of this node. Refused holds those by the
	// node, of which OverLimit were beyond the limit and Floods beyond it while no slot was
	// free. Failed holds those that may have run.
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	OverLimit uint64 `json:"overLimit"`
	Floods    uint64 `json:"floods"`
	// Home is set if this node is the home of the account in its zone.
	Home *Home `json:"home,omitempty"`
}

// Home is the state of an account's limit in one zone.
type Home struct {
	// Room is the number of requests that may be sent at once. It is negative if nodes have
	// sent some unasked.
	Room float64 `json:"room"`
	// Rate is that of the zone with its loans, and Demand what the zone's nodes ask for, in
	// requests a second. Lent and Borrowed are the loans.
	Rate     float64 `json:"rate"`
	Demand   float64 `json:"demand"`
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	// Excess is the part of the demand that is beyond the limit, from 0 to 1.
	Excess float64 `json:"excess"`
}

// Server is what a node believes of a server of another node.
type Server struct {
	// Node is the node beside the server.
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	// SoftwareVersion is that of the server, or empty if roll-outs are not followed.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	// Reachable is set if the node has answered lately.
	Reachable bool `json:"reachable"`
	// AgeMs is the age of the news in its last answer to this node, and is negative if there
	// was none. The fields below are from that answer.
	AgeMs   int     `json:"ageMs"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Failing float64 `json:"failing"`
	// Outstanding counts the requests of this node that it has not answered.
	Outstanding int `json:"outstanding"`
	// FullForMs is the time for which it counts as full, or its server as ejected, and
	// ExcludedForMs that for which it gets nothing.
	FullForMs     int `json:"fullForMs,omitempty"`
	ExcludedForMs int `json:"excludedForMs,omitempty"`
	// UsualMs holds usual running times by route.
	UsualMs map[string]float64 `json:"usualMs,omitempty"`
}

// Own is the server beside the node.
type Own struct {
	Server  string  `json:"server"`
	State   string  `json:"state"`
	Slots   int     `json:"slots"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Failing float64 `json:"failing"`
	// RateLimit is the number of requests a second that the server takes, or 0.
	RateLimit float64 `json:"rateLimit,omitempty"`
	// EjectedForMs is the time for which it gets nothing because it has broken requests.
	EjectedForMs int `json:"ejectedForMs,omitempty"`
}

// Filter selects parts of a view. Empty fields select all.
type Filter struct {
	Service, Account string
}

// Handler returns a handler that serves the view, and everything else by next.
func Handler(view func(Filter) View, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		q := r.URL.Query()
		v := view(Filter{Service: q.Get(paramService), Account: q.Get(paramAccount)})
		v.bound()
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	})
}

// bound cuts the lists.
func (v *View) bound() {
	v.Rollouts = cut(v, v.Rollouts, maxRollouts)
	v.Accounts = cut(v, v.Accounts, maxAccounts)
	v.Servers = cut(v, v.Servers, maxServers)
}

func cut[T any](v *View, list []T, most int) []T {
	if len(list) > most {
		v.LeftOut += len(list) - most
		return list[:most]
	}
	return list
}

// Fetch reads the view of the node with an address for metrics.
func Fetch(ctx context.Context, addr netip.AddrPort, f Filter) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := httpclient.New("view")
	defer client.Close()
	u := url.URL{Scheme: "http", Host: addr.String(), Path: Path, RawQuery: url.Values{paramService: {f.Service}, paramAccount: {f.Account}}.Encode()}
	r, err := httpclient.NewRequest(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return View{}, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return View{}, errors.Wrapf(err, "node %s", addr)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBytes))
	if err != nil {
		return View{}, errors.Wrapf(err, "node %s", addr)
	}
	if answer.StatusCode != http.StatusOK {
		return View{}, errors.Newf("node %s: status %d", addr, answer.StatusCode)
	}
	var v View
	return v, errors.Wrapf(json.Unmarshal(body, &v), "node %s: not a view", addr)
}
