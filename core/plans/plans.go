// Package plans authorizes calls: it decides which customer may call which service,
// according to one version of the lists of customers and of plans.
//
// # Versions
//
// A [Version] is built from both lists at once. Build validates them and returns
// either a complete version or all faults, so a version is never in force in part.
// A Version is immutable and safe for concurrent use.
//
// # Decisions
//
// The first node on the path of a call invokes Decide once per call:
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

// Version is one valid version of the lists of customers and of plans.
type Version struct {
	number uint64
	// customers holds the customers by the hash of each of their keys.
	customers table[[sha256.Size]byte, customer]
	// planOf holds the plan of each customer, by name.
	planOf   table[string, string]
	services map[string]lists.Service
	// plans holds the uses of each plan by service.
	plans map[string]map[string]use
}

// Request holds the properties of a call that a decision depends on.
type Request struct {
	// Key is the secret key that the caller sent, in plain text.
	Key string
	// Service is the name of the called service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path that the backend server receives, with percent-escapes
	// decoded.
	Path string
}

// Decision is Allowed or Refused.
type Decision interface {
	implementsDecision()
}

// Allowed means that the call is permitted, with the terms that apply to it.
type Allowed struct {
	Customer string
	Plan     string
	Priority priority.Priority
	// Timeout bounds the duration of the call.
	Timeout time.Duration
	// CallsPerSecond limits the customer's rate across all servers of the service.
	// Zero means no limit.
	CallsPerSecond float64
	// Concurrent limits the customer's concurrent calls across all servers of the
	// service. Zero means no limit.
	Concurrent int
}

// Refused means that the call is not permitted, and why.
type Refused struct {
	// Rule is customerUnknown, serviceUnknown, planForbids, methodForbidden or
	// pathForbidden.
	Rule string
	// Detail is a human-readable description. It does not contain the key.
	Detail string
}

// customer is the name of a customer and of its plan.
type customer struct {
	name string
	plan string
}

// use is a service that a plan may use, with its decoded priority.
type use struct {
	lists.Use
	priority priority.Priority
}

// Number returns the version number.
func (v *Version) Number() uint64 { return v.number }

// Sizes returns the numbers of customers, plans and services.
func (v *Version) Sizes() (customers, plans, services int) {
	return v.planOf.count, len(v.plans), len(v.services)
}

// Service returns the service with this name, or false if it is not listed.
func (v *Version) Service(name string) (lists.Service, bool) {
	service, ok := v.services[name]
	return service, ok
}

// Decide identifies the customer by the key and decides whether the call is
// permitted.
func (v *Version) Decide(r Request) Decision {
	hash := sha256.Sum256([]byte(r.Key))
	caller, ok := v.customers.get(shardOfKey(hash), hash)
	if !ok {
		return Refused{Rule: "customerUnknown", Detail: "no customer has this key"}
	}
	return v.decideFor(caller, r)
}

// DecideFor decides whether a call of an already identified customer is permitted
// by the customer's plan in this version. It ignores the key of the request.
func (v *Version) DecideFor(name string, r Request) Decision {
	plan, ok := v.planOf.get(shardOfName(name), name)
	if !ok {
		return Refused{Rule: "customerUnknown", Detail: "customer " + name + " is not listed"}
	}
	return v.decideFor(customer{name: name, plan: plan}, r)
}

func (v *Version) decideFor(caller customer, r Request) Decision {
	service, ok := v.services[r.Service]
	if !ok {
		return Refused{Rule: "serviceUnknown", Detail: "no service " + r.Service + " is listed"}
	}
	use, ok := v.plans[caller.plan][r.Service]
	if !ok {
		return Refused{Rule: "planForbids", Detail: "plan " + caller.plan + " does not use service " + r.Service}
	}
	if len(use.Methods) > 0 && !slices.Contains(use.Methods, lists.UseMethodsElem(r.Method)) {
		return Refused{Rule: "methodForbidden", Detail: "plan " + caller.plan + " does not allow " + r.Method + " on " + r.Service}
	}
	if len(use.PathPrefixes) > 0 && hasDotSegment(r.Path) {
		return Refused{Rule: "pathForbidden", Detail: "a path with a . or .. segment could lead out of what plan " + caller.plan + " allows"}
	}
	if len(use.PathPrefixes) > 0 && !hasAnyPrefix(use.PathPrefixes, r.Path) {
		return Refused{Rule: "pathForbidden", Detail: "plan " + caller.plan + " does not allow this path on " + r.Service}
	}
	return Allowed{
		Customer:       caller.name,
		Plan:           caller.plan,
		Priority:       use.priority,
		Timeout:        service.Timeout.Std(),
		CallsPerSecond: use.CallsPerSecond,
		Concurrent:     use.Concurrent,
	}
}

// HashKey returns the SHA-256 of a caller's key in lower-case hex, as the list of
// customers has it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// hasDotSegment reports whether the path has a . or .. segment, which a backend
// server may resolve to another path. A backslash counts as a separator, since some
// servers treat it as a slash.
func hasDotSegment(path string) bool {
	segments := strings.FieldsFunc(path, func(r rune) bool { return r == '/' || r == '\\' })
	return slices.Contains(segments, ".") || slices.Contains(segments, "..")
}

func hasAnyPrefix(prefixes []string, path string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (Allowed) implementsDecision() {}
func (Refused) implementsDecision() {}
