// Package quarantine identifies queries of death: calls that crash the backend
// servers that run them.
//
// # Evidence
//
// A [Table] records which calls were answered and, for each crash of a server of the
// service at this or another node, which calls were running:
//
//	var t quarantine.Table
//	t.Answered(fingerprint)
//	for _, e := range t.Crashed(now, crash) {
//		fmt.Println(e)
//	}
//	if e, ok := t.Check(now, fingerprint); ok {
//		refuse(e)
//	}
//
// # Evidence of other nodes
//
// A node that has started, or has not received reports for a while, gets what it lacks from
// another one:
//
//	missing := other.Missing(now, t.Summary(now))
//	quarantined := t.Merge(now, missing)
//
// # Suspicion
//
// A fingerprint whose calls were running in crashes of two servers is suspect. Its
// suspicion is the share of its known runs that ended in a crash, so that a call that
// merely ran at the same time and is answered elsewhere scores lower. Only the most
// suspect fingerprint of a crash is quarantined. If several are equally suspect, the
// call that causes the crashes cannot be told from calls that were retried together
// with it. The next crash may then decide, and from the third crash on all of them are
// quarantined.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// crashTTL is how long a crash counts as evidence, and quarantineTime the duration
	// of a quarantine.
	crashTTL       = 10 * time.Minute
	quarantineTime = 10 * time.Minute
	// minServers is the number of different servers that must have crashed before a
	// fingerprint is quarantined, and minTiedCrashes the number of crashes before
	// several equally suspect ones are.
	minServers     = 2
	minTiedCrashes = 3
	// minSuspicion is the share of the known runs that must have ended in a crash.
	minSuspicion = 0.5

	// maxCrashes, maxEntries and maxFingerprints bound the crashes, the quarantined
	// fingerprints and the counts of answered calls in a table, and maxSuspects the
	// calls of one crash.
	maxCrashes      = 64
	maxSuspects     = 1024
	maxEntries      = 256
	maxFingerprints = 8192
	// fingerprintSize is the number of bytes of the hash in a fingerprint.
	fingerprintSize = 16
)

// Request holds the properties of a call that its fingerprint depends on.
type Request struct {
	Customer string
	Service  string
	Method   string
	// URI is the path and the query.
	URI string
	// Body is the body if it is short, or nil.
	Body []byte
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
}

// Fingerprint returns a hash in hexadecimal that is the same for each retry of a call.
func Fingerprint(r Request) string {
	h := sha256.New()
	for _, part := range [...]string{r.Customer, r.Service, r.Method, r.URI, strconv.FormatInt(r.Length, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintSize])
}

// Suspect is a call that was running when a server crashed.
type Suspect struct {
	Fingerprint string
	// Answered is the number of calls with this fingerprint that the server had
	// answered.
	Answered int
	// Subject describes the call for operators.
	Subject string
}

// Crash is the crash of a backend server with the calls that were running there.
type Crash struct {
	// Server is the id of the backend server's node.
	Server string
	// Process identifies the node's process, and Sequence is the number of this crash among
	// those that it has observed.
	Process, Sequence uint64
	// Suspects are the calls that were running.
	Suspects []Suspect
}

// Entry is a quarantined fingerprint, whose calls are refused.
type Entry struct {
	Fingerprint string `json:"fingerprint"`
	// Subject describes the call for operators.
	Subject string `json:"subject"`
	// Until is when the quarantine ends.
	Until time.Time `json:"until"`
	// Servers holds the node ids of the servers that crashed while a call with this
	// fingerprint was running.
	Servers []string `json:"servers"`
	// Answered is the number of known runs that were answered.
	Answered int `json:"answered"`
}

// Table holds the evidence and the quarantined fingerprints of one node. The zero value
// is ready to use. It is not safe for concurrent use.
type Table struct {
	crashes []crashRecord
	entries []Entry
	// newer and older count answered calls by fingerprint. When newer is full, it
	// replaces older.
	newer, older map[string]int
	// lifted holds the quarantines that the operator has ended.
	lifted []lifted
}

type crashRecord struct {
	Crash
	at time.Time
}

// Answered counts a call that the node's own server answered.
func (t *Table) Answered(fingerprint string) {
	if n, ok := t.newer[fingerprint]; ok {
		t.newer[fingerprint] = n + 1
		return
	}
	if t.newer == nil || len(t.newer) >= maxFingerprints/2 {
		t.older, t.newer = t.newer, make(map[string]int)
	}
	t.newer[fingerprint] = t.older[fingerprint] + 1
}

// AnsweredCount returns the number of calls with the fingerprint that the node's own
// server has answered, as far as the table still holds them.
func (t *Table) AnsweredCount(fingerprint string) int {
	return max(t.newer[fingerprint], t.older[fingerprint])
}

// Crashed records a crash and returns the fingerprints that it put into quarantine. A
// crash that is already known changes nothing.
func (t *Table) Crashed(now time.Time, c Crash) []Entry {
	t.expire(now)
	if t.Knows(c) {
		return nil
	}
	t.record(crashRecord{Crash: c, at: now})
	entries := t.mostSuspect(c)
	for i := range entries {
		entries[i].Until = now.Add(quarantineTime)
		t.add(entries[i])
	}
	return entries
}

// Knows reports whether a crash has been recorded.
func (t *Table) Knows(c Crash) bool {
	return slices.ContainsFunc(t.crashes, func(r crashRecord) bool { return r.Key() == c.Key() })
}

// Evidence returns the number of crashes that count as evidence.
func (t *Table) Evidence(now time.Time) int {
	t.expire(now)
	return len(t.crashes)
}

// Check returns the entry of the fingerprint, and whether its calls are refused.
func (t *Table) Check(now time.Time, fingerprint string) (Entry, bool) {
	for _, e := range t.entries {
		if e.Fingerprint == fingerprint && now.Before(e.Until) {
			return e, true
		}
	}
	return Entry{}, false
}

// IsEmpty reports whether the table has no entries, in which case Check need not be
// called. It may return false for entries that have expired.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// Entries returns the quarantined fingerprints in the order of their quarantine.
func (t *Table) Entries(now time.Time) []Entry {
	t.expire(now)
	return slices.Clone(t.entries)
}

// Lift ends a quarantine and drops the crashes recorded against the fingerprint. It
// returns false if the fingerprint is not quarantined.
func (t *Table) Lift(now time.Time, fingerprint string) bool {
	t.expire(now)
	e, ok := t.Check(now, fingerprint)
	if !ok {
		return false
	}
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool { return e.Fingerprint == fingerprint })
	if len(t.lifted) == maxEntries {
		t.lifted = slices.Delete(t.lifted, 0, 1)
	}
	t.lifted = append(t.lifted, lifted{fingerprint: fingerprint, at: now, until: e.Until})
	for i := range t.crashes {
		suspects := slices.Clone(t.crashes[i].Suspects)
		t.crashes[i].Suspects = slices.DeleteFunc(suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	}
	return true
}

// mostSuspect returns the fingerprints of a crash to quarantine: the most suspect ones,
// if the evidence is sufficient.
func (t *Table) mostSuspect(c Crash) []Entry {
	var most []Entry
	highest := 0.0
	crashes := 0
	for _, s := range c.Suspects {
		e, n := t.evidence(s)
		if len(e.Servers) < minServers {
			continue
		}
		suspicion := float64(n) / float64(n+e.Answered)
		switch {
		case suspicion < minSuspicion || suspicion < highest:
		case suspicion > highest || n > crashes:
			most, highest, crashes = []Entry{e}, suspicion, n
		case n == crashes:
			most = append(most, e)
		}
	}
	if len(most) > 1 && crashes < minTiedCrashes {
		return nil
	}
	return most
}

// evidence returns an entry with the evidence against a suspect, and the number of
// crashes in which it was running.
func (t *Table) evidence(s Suspect) (e Entry, crashes int) {
	e = Entry{Fingerprint: s.Fingerprint, Subject: s.Subject, Answered: t.AnsweredCount(s.Fingerprint)}
	for _, c := range t.crashes {
		i := slices.IndexFunc(c.Suspects, func(o Suspect) bool { return o.Fingerprint == s.Fingerprint })
		if i < 0 {
			continue
		}
		crashes++
		e.Answered = max(e.Answered, c.Suspects[i].Answered)
		if !slices.Contains(e.Servers, c.Server) {
			e.Servers = append(e.Servers, c.Server)
		}
	}
	return e, crashes
}

func (t *Table) add(e Entry) {
	t.entries = slices.DeleteFunc(t.entries, func(o Entry) bool { return o.Fingerprint == e.Fingerprint })
	if len(t.entries) == maxEntries {
		first := slices.MinFunc(t.entries, func(a, b Entry) int { return a.Until.Compare(b.Until) })
		t.entries = slices.DeleteFunc(t.entries, func(o Entry) bool { return o.Fingerprint == first.Fingerprint })
	}
	t.entries = append(t.entries, e)
}

func (t *Table) expire(now time.Time) {
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool { return !now.Before(e.Until) })
	t.crashes = slices.DeleteFunc(t.crashes, func(c crashRecord) bool { return now.Sub(c.at) >= crashTTL })
	t.lifted = slices.DeleteFunc(t.lifted, func(l lifted) bool { return now.Sub(l.at) >= crashTTL })
}

// SortSuspects sorts by ascending number of answered calls, so that a truncated report
// keeps the most suspect calls.
func SortSuspects(suspects []Suspect) {
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Answered, b.Answered) })
}

func (e Entry) String() string {
	return fmt.Sprintf("%s ran in crashes of the servers of %v, %d runs were answered", e.Subject, e.Servers, e.Answered)
}
