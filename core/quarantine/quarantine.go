// Package quarantine finds the calls that end the backend servers that run them.
//
// # Evidence
//
// A [Table] is told which calls were answered and, for each crash of a server of
// the service, here or at another node, which calls ran there:
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
// # Suspicion
//
// A fingerprint that ran in crashes of two servers is suspect. Its suspicion is
// the part of its known runs that ended in a crash, so that a call that was
// merely beside it, and is answered elsewhere, falls behind. Only the most
// suspect fingerprint of a crash is quarantined. When several are equally
// suspect, nothing tells the guilty one from a call that was sent again beside it
// each time: the next crash decides, and after the third all of them go.
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
	// window is how long a crash counts, and lasts how long a quarantine.
	window = 10 * time.Minute
	lasts  = 10 * time.Minute
	// leastServers and surely are the numbers of crashes from which on the most
	// suspect fingerprint, and all that are equally suspect, are quarantined.
	leastServers = 2
	surely       = 3
	// leastSuspicion is the least part of the known runs that ended in a crash.
	leastSuspicion = 0.5

	maxCrashes      = 64
	maxSuspects     = 1024
	maxEntries      = 256
	maxFingerprints = 8192
	fingerprintSize = 16
)

// Request is what a fingerprint depends on.
type Request struct {
	Customer string
	Service  string
	Method   string
	// URI is the path and the query.
	URI string
	// Body is the body when it is short.
	Body []byte
	// Length is the length of the body, or -1 when it is not known.
	Length int64
}

// Fingerprint returns what the same call, sent again, has in common.
func Fingerprint(r Request) string {
	h := sha256.New()
	for _, part := range [...]string{r.Customer, r.Service, r.Method, r.URI, strconv.FormatInt(r.Length, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintSize])
}

// Suspect is a call that ran when a server crashed.
type Suspect struct {
	Fingerprint string
	// Answered counts the calls with this fingerprint that the server had
	// answered.
	Answered int
	// Subject says in words what the call was.
	Subject string
}

// Crash is the end of a backend server with the calls that ran there.
type Crash struct {
	// Server is the id of the node beside the backend server.
	Server string
	// Sequence counts the crashes that the node has seen.
	Sequence uint64
	Suspects []Suspect
}

// Entry is a fingerprint whose calls are refused.
type Entry struct {
	Fingerprint string    `json:"fingerprint"`
	Subject     string    `json:"subject"`
	Until       time.Time `json:"until"`
	// Servers are the nodes of the servers that crashed while a call with this
	// fingerprint ran.
	Servers []string `json:"servers"`
	// Answered counts the known runs that were answered.
	Answered int `json:"answered"`
}

// Table is the evidence that one node has. The zero value is ready to use. The
// caller serializes all calls.
type Table struct {
	crashes []seenCrash
	entries []Entry
	// newer is followed by older when it is full.
	newer, older map[string]int
}

type seenCrash struct {
	Crash
	at time.Time
}

// Answered counts a call that the own server answered.
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

// AnsweredCount returns how many calls the own server has answered, as far as
// they are remembered.
func (t *Table) AnsweredCount(fingerprint string) int {
	return max(t.newer[fingerprint], t.older[fingerprint])
}

// Crashed adds a crash and returns the fingerprints that were quarantined by it.
// A crash that is already known changes nothing.
func (t *Table) Crashed(now time.Time, c Crash) []Entry {
	t.expire(now)
	known := func(s seenCrash) bool { return s.Server == c.Server && s.Sequence == c.Sequence }
	if slices.ContainsFunc(t.crashes, known) {
		return nil
	}
	if len(c.Suspects) > maxSuspects {
		c.Suspects = c.Suspects[:maxSuspects]
	}
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, seenCrash{Crash: c, at: now})
	guilty := t.guilty(c)
	for i := range guilty {
		guilty[i].Until = now.Add(lasts)
		t.add(guilty[i])
	}
	return guilty
}

// Check says whether calls with the fingerprint are refused.
func (t *Table) Check(now time.Time, fingerprint string) (Entry, bool) {
	for _, e := range t.entries {
		if e.Fingerprint == fingerprint && now.Before(e.Until) {
			return e, true
		}
	}
	return Entry{}, false
}

// IsEmpty says whether no fingerprint is quarantined, so that Check need not be
// asked.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// Entries returns what is quarantined, in the order in which it was found.
func (t *Table) Entries(now time.Time) []Entry {
	t.expire(now)
	return slices.Clone(t.entries)
}

// Lift ends a quarantine and forgets its evidence. It returns false when the
// fingerprint is not quarantined.
func (t *Table) Lift(now time.Time, fingerprint string) bool {
	t.expire(now)
	before := len(t.entries)
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool { return e.Fingerprint == fingerprint })
	if len(t.entries) == before {
		return false
	}
	for i := range t.crashes {
		suspects := slices.Clone(t.crashes[i].Suspects)
		t.crashes[i].Suspects = slices.DeleteFunc(suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	}
	return true
}

// guilty returns the most suspect fingerprints of a crash, when they are suspect
// enough.
func (t *Table) guilty(c Crash) []Entry {
	var most []Entry
	highest := 0.0
	crashes := 0
	for _, s := range c.Suspects {
		e, n := t.entryOf(s)
		if len(e.Servers) < leastServers {
			continue
		}
		suspicion := float64(n) / float64(n+e.Answered)
		switch {
		case suspicion < leastSuspicion || suspicion < highest:
		case suspicion > highest || n > crashes:
			most, highest, crashes = []Entry{e}, suspicion, n
		case n == crashes:
			most = append(most, e)
		}
	}
	if len(most) > 1 && crashes < surely {
		return nil
	}
	return most
}

// entryOf returns the evidence on a suspect and the number of its crashes.
func (t *Table) entryOf(s Suspect) (e Entry, crashes int) {
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
		t.entries = slices.Delete(t.entries, 0, 1)
	}
	t.entries = append(t.entries, e)
}

func (t *Table) expire(now time.Time) {
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool { return !now.Before(e.Until) })
	t.crashes = slices.DeleteFunc(t.crashes, func(c seenCrash) bool { return now.Sub(c.at) >= window })
}

// Sort puts the most suspect first, so that a report that is cut short keeps
// them.
func Sort(suspects []Suspect) {
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Answered, b.Answered) })
}

func (e Entry) String() string {
	return fmt.Sprintf("%s ran in crashes of the servers of %v, %d runs were answered", e.Subject, e.Servers, e.Answered)
}
