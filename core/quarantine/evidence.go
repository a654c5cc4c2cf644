package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// expiryMargin is the last part of the life of crashes and quarantines, in which nodes
	// do not pass them on. Otherwise a node that has dropped one would get it again.
	expiryMargin = 5 * time.Second
	// maxPassedSuspects bounds the suspects in the evidence for one node.
	maxPassedSuspects = 4096
)

// Key identifies a crash.
type Key struct {
	Server            string
	Process, Sequence uint64
}

// Record is a crash with the time since it was observed.
type Record struct {
	Crash
	Age time.Duration
}

// Evidence is what one node tells another of crashes and quarantines.
type Evidence struct {
	Crashes []Record
	// Entries are quarantines, with times by the clock of the node that holds them.
	Entries []Entry
}

// IsEmpty reports whether there is nothing to tell.
func (e Evidence) IsEmpty() bool { return len(e.Crashes) == 0 && len(e.Entries) == 0 }

// Summary names the evidence that a node has.
type Summary struct {
	Crashes []Key
	// Fingerprints are those in quarantine, and those of which the quarantine was lifted.
	Fingerprints []string
}

// Digest is a hash of a Summary. A part is empty if there is nothing.
type Digest struct{ Crashes, Fingerprints string }

// lifted is a quarantine that the operator has ended.
type lifted struct {
	fingerprint string
	// at is when it was lifted, and until when it would have ended.
	at, until time.Time
}

// Key returns the key of the crash.
func (c Crash) Key() Key { return Key{Server: c.Server, Process: c.Process, Sequence: c.Sequence} }

// Summary returns the names of the evidence in the table.
func (t *Table) Summary(now time.Time) Summary {
	var s Summary
	for _, r := range t.passable(now) {
		s.Crashes = append(s.Crashes, r.Key())
	}
	for _, e := range t.entries {
		if e.Until.Sub(now) > expiryMargin {
			s.Fingerprints = append(s.Fingerprints, e.Fingerprint)
		}
	}
	for _, l := range t.lifted {
		if l.until.Sub(now) > expiryMargin && !slices.Contains(s.Fingerprints, l.fingerprint) {
			s.Fingerprints = append(s.Fingerprints, l.fingerprint)
		}
	}
	return s
}

// Digest returns a hash of the summary. It does not depend on the order of the evidence.
func (t *Table) Digest(now time.Time) Digest {
	s := t.Summary(now)
	var crashes, fingerprints uint64
	for _, k := range s.Crashes {
		buf := append([]byte(k.Server), 0)
		buf = binary.BigEndian.AppendUint64(buf, k.Process)
		buf = binary.BigEndian.AppendUint64(buf, k.Sequence)
		crashes ^= xxhash.Sum64(buf)
	}
	for _, f := range s.Fingerprints {
		fingerprints ^= xxhash.Sum64String(f)
	}
	return Digest{Crashes: formatHash(crashes), Fingerprints: formatHash(fingerprints)}
}

func formatHash(sum uint64) string {
	if sum == 0 {
		return ""
	}
	return strconv.FormatUint(sum, 36)
}

// Missing returns the evidence that another node lacks, by its summary.
func (t *Table) Missing(now time.Time, other Summary) Evidence {
	var missing Evidence
	suspects := 0
	records := t.passable(now)
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		if slices.Contains(other.Crashes, r.Key()) {
			continue
		}
		if suspects += len(r.Suspects); suspects > maxPassedSuspects {
			break
		}
		missing.Crashes = append(missing.Crashes, Record{Crash: r.Crash, Age: now.Sub(r.at)})
	}
	for _, e := range t.entries {
		if e.Until.Sub(now) > expiryMargin && !slices.Contains(other.Fingerprints, e.Fingerprint) {
			missing.Entries = append(missing.Entries, e)
		}
	}
	return missing
}

// Merge adds the evidence of another node, and returns the fingerprints that are in
// quarantine since then. It changes nothing for a fingerprint whose quarantine was lifted
// here after the other node had put it there.
func (t *Table) Merge(now time.Time, e Evidence) []Entry {
	t.expire(now)
	var added []crashRecord
	for _, r := range e.Crashes {
		if c, ok := t.mergeCrash(now, r); ok {
			added = append(added, c)
		}
	}
	var entries []Entry
	for _, c := range added {
		for _, entry := range t.mostSuspect(c.Crash) {
			entry.Until = c.at.Add(quarantineTime)
			entries = append(entries, entry)
		}
	}
	var begun []Entry
	for _, entry := range append(entries, e.Entries...) {
		if t.mergeEntry(now, entry) {
			begun = append(begun, entry)
		}
	}
	return begun
}

// mergeCrash records the crash of another node's evidence. It returns false if the crash
// is known, or is older than all that the table has room for.
func (t *Table) mergeCrash(now time.Time, r Record) (crashRecord, bool) {
	c := crashRecord{Crash: r.Crash, at: now.Add(-max(r.Age, 0))}
	if t.Knows(r.Crash) || now.Sub(c.at) >= crashTTL {
		return c, false
	}
	if len(t.crashes) == maxCrashes && !c.at.After(t.crashes[0].at) {
		return c, false
	}
	c.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(s Suspect) bool {
		return slices.ContainsFunc(t.lifted, func(l lifted) bool { return l.fingerprint == s.Fingerprint && !c.at.After(l.at) })
	})
	t.record(c)
	return c, true
}

// record adds a crash in the order of time. The oldest one makes room for it.
func (t *Table) record(c crashRecord) {
	c.Suspects = c.Suspects[:min(len(c.Suspects), maxSuspects)]
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(t.crashes, c, func(a, b crashRecord) int { return cmp.Or(a.at.Compare(b.at), -1) })
	t.crashes = slices.Insert(t.crashes, i, c)
}

// mergeEntry adds a quarantine of another node. It returns true if the fingerprint was not
// in quarantine.
func (t *Table) mergeEntry(now time.Time, e Entry) bool {
	if latest := now.Add(quarantineTime); e.Until.After(latest) {
		e.Until = latest
	}
	began := e.Until.Add(-quarantineTime)
	if !now.Before(e.Until) || slices.ContainsFunc(t.lifted, func(l lifted) bool { return l.fingerprint == e.Fingerprint && !began.After(l.at) }) {
		return false
	}
	known, ok := t.Check(now, e.Fingerprint)
	switch {
	case ok && e.Until.Sub(known.Until) <= expiryMargin:
		// The same quarantine, perhaps with the delay of a message.
		return false
	case !ok && len(t.entries) == maxEntries && !slices.ContainsFunc(t.entries, func(o Entry) bool { return o.Until.Before(e.Until) }):
		return false
	}
	t.add(e)
	return !ok
}

// passable returns the crashes that are passed on, in the order of time.
func (t *Table) passable(now time.Time) []crashRecord {
	i := slices.IndexFunc(t.crashes, func(r crashRecord) bool { return now.Sub(r.at) < crashTTL-expiryMargin })
	if i < 0 {
		return nil
	}
	return t.crashes[i:]
}
