// Package plans decides who may call what, by one version of the two lists.
//
// # Versions
//
// A [Version] is built from both lists at once. Build checks all of it and
// returns either a whole version or every fault that it found, so a version is
// never in force in part. A Version never changes after it was built and is
// safe for use by several goroutines at once.
//
// # Decisions
//
// Decide is asked once for each call, by the first node of its path:
//
//	switch d := version.Decide(plans.Request{Key: key, Service: "bookings", Method: "POST", Path: "/"}).(type) {
//	case plans.Allowed:
//		route(d.Priority, d.Timeout)
//	case plans.Refused:
//		refuse(d.Rule, d.Detail)
//	}
package plans

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"lavenderdeal/core/priority"
	"lavenderdeal/schema/lists"
)

// Version is one version of the two lists, checked as a whole.
type Version struct {
	number    uint64
	customers table[[sha256.Size]byte, customer]
	planOf    table[string, string]
	services  map[string]lists.Service
	plans     map[string]map[string]use
}

// Request is what a decision depends on.
type Request struct {
	// Key is the caller's key in clear.
	Key string
	// Service is the service that the caller names.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path that the backend server will see, with its escapes
	// decoded.
	Path string
}

// Decision is Allowed or Refused.
type Decision interface {
	implementsDecision()
}

// Allowed says that the call may go on, and how.
type Allowed struct {
	Customer string
	Plan     string
	Priority priority.Priority
	// Timeout is the longest time for the call.
	Timeout time.Duration
	// CallsPerSecond limits the customer over all servers of the service. Zero
	// sets no limit.
	CallsPerSecond float64
	// Concurrent limits the customer's calls at once over all servers of the
	// service. Zero sets no limit.
	Concurrent int
}

// Refused says that the call may not go on, and why.
type Refused struct {
	// Rule is customerUnknown, serviceUnknown, planForbids, methodForbidden or
	// pathForbidden.
	Rule   string
	Detail string
}

type customer struct {
	name string
	plan string
}

type use struct {
	lists.Use
	priority priority.Priority
}

// Number returns the number of the version.
func (v *Version) Number() uint64 { return v.number }

// Sizes returns how many customers, plans and services the version has.
func (v *Version) Sizes() (customers, plans, services int) {
	return v.planOf.n, len(v.plans), len(v.services)
}

// Service returns a service by its name.
func (v *Version) Service(name string) (lists.Service, bool) {
	service, ok := v.services[name]
	return service, ok
}

// Decide says whether the call may go on.
func (v *Version) Decide(r Request) Decision {
	hash := sha256.Sum256([]byte(r.Key))
	who, ok := v.customers.get(shardOfKey(hash), hash)
	if !ok {
		return Refused{Rule: "customerUnknown", Detail: "no customer has this key"}
	}
	return v.decideFor(who, r)
}

// DecideFor says whether a call that is already known to be the customer's may
// go on, under the plan that this version gives the customer.
func (v *Version) DecideFor(name string, r Request) Decision {
	plan, ok := v.planOf.get(shardOfName(name), name)
	if !ok {
		return Refused{Rule: "customerUnknown", Detail: "customer " + name + " is not listed"}
	}
	return v.decideFor(customer{name: name, plan: plan}, r)
}

func (v *Version) decideFor(who customer, r Request) Decision {
	service, ok := v.services[r.Service]
	if !ok {
		return Refused{Rule: "serviceUnknown", Detail: "no service " + r.Service + " is listed"}
	}
	use, ok := v.plans[who.plan][r.Service]
	if !ok {
		return Refused{Rule: "planForbids", Detail: "plan " + who.plan + " does not use service " + r.Service}
	}
	if len(use.Methods) > 0 && !slices.Contains(use.Methods, lists.UseMethodsElem(r.Method)) {
		return Refused{Rule: "methodForbidden", Detail: "plan " + who.plan + " does not allow " + r.Method + " on " + r.Service}
	}
	if len(use.PathPrefixes) > 0 && hasDotSegment(r.Path) {
		return Refused{Rule: "pathForbidden", Detail: "a path with a . or .. segment could lead out of what plan " + who.plan + " allows"}
	}
	if len(use.PathPrefixes) > 0 && !hasPrefix(use.PathPrefixes, r.Path) {
		return Refused{Rule: "pathForbidden", Detail: "plan " + who.plan + " does not allow this path on " + r.Service}
	}
	return Allowed{
		Customer:       who.name,
		Plan:           who.plan,
		Priority:       use.priority,
		Timeout:        service.Timeout.Std(),
		CallsPerSecond: use.CallsPerSecond,
		Concurrent:     use.Concurrent,
	}
}

// HashKey returns the form in which a caller's key stands in the list.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// hasDotSegment says whether a backend server may understand the path as another
// one. Some take a backslash for a slash.
func hasDotSegment(path string) bool {
	segments := strings.FieldsFunc(path, func(r rune) bool { return r == '/' || r == '\\' })
	return slices.Contains(segments, ".") || slices.Contains(segments, "..")
}

func hasPrefix(prefixes []string, path string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (Allowed) implementsDecision() {}
func (Refused) implementsDecision() {}
