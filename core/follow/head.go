package follow

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/document"
	"lavenderdeal/schema/objects"
)

var headDecoder = document.MustNew[objects.Head](objects.Schema, "Head")

// DecodeHead decodes a head in the form that the platform stores. It returns an error if
// the head does not match its schema.
func DecodeHead(raw []byte) (Head, error) {
	head, err := headDecoder.Decode(raw)
	if err != nil {
		return Head{}, err
	}
	return Head{Head: head, Raw: raw, Hash: chunk.New(raw).Hash}, nil
}

// headReceived makes a head that is newer than the held one a candidate, unless it was
// rejected before.
func (m *Machine) headReceived(now time.Time, e HeadReceived) {
	head, err := DecodeHead(e.Raw)
	if err != nil {
		m.handleMalformedHead(now, e, err)
		return
	}
	if e.From == Platform {
		m.checkPlatformHead(head)
	}
	if head.Version <= m.held.Version {
		if head.Version == m.held.Version && head.Hash != m.held.Hash {
			m.reportConflict(e.From, head, m.held.Hash)
		}
		m.headFailed(now, e.From)
		return
	}
	m.endSearch(e.From, head.Version)
	if m.isRejected(head.Hash) {
		m.markHeldByPeer(e.From, head.Hash)
		return
	}
	m.addCandidate(now, e.From, head)
}

// handleMalformedHead rejects a malformed head of the platform and reports that of a
// peer.
func (m *Machine) handleMalformedHead(now time.Time, e HeadReceived, err error) {
	m.headFailed(now, e.From)
	if e.From != Platform {
		m.emit(InvalidData{From: e.From, Detail: "head: " + err.Error()})
		return
	}
	m.reject(Rejection{Hash: chunk.New(e.Raw).Hash, Reasons: []string{"head: " + err.Error()}})
}

// checkPlatformHead compares the platform's head with the held one. It reports
// once when the platform falls behind, and once when it has caught up.
func (m *Machine) checkPlatformHead(head Head) {
	if head.Version >= m.held.Version {
		if m.reportedBehind != "" {
			m.reportedBehind = ""
			m.emit(PlatformCaughtUp{Platform: head.Version})
		}
		return
	}
	reported := head.Hash
	if reported == "" {
		reported = "empty"
	}
	if m.reportedBehind == reported {
		return
	}
	m.reportedBehind = reported
	m.emit(PlatformBehind{Held: m.held.Version, Platform: head.Version})
}

// reportConflict reports once that a head has the version number of another one.
func (m *Machine) reportConflict(from Source, head Head, heldHash string) {
	if slices.Contains(m.reportedConflicts, head.Hash) {
		return
	}
	m.reportedConflicts = appendBounded(m.reportedConflicts, head.Hash)
	m.emit(Conflict{From: from, Number: head.Version, Held: heldHash, Other: head.Hash})
}

// addCandidate adds a head to the candidates, or its source to the candidate with the
// same head. A candidate with the same number and another head is a conflict, and the
// new head is dropped.
func (m *Machine) addCandidate(now time.Time, from Source, head Head) {
	for _, c := range m.candidates {
		if c.Hash == head.Hash {
			m.addOffer(now, c, from)
			return
		}
		if c.Version == head.Version {
			m.reportConflict(from, head, c.Hash)
			return
		}
	}
	c := &candidate{Head: head, offeredBy: []Source{from}}
	c.missing = m.store.missing(head.Head)
	if m.Rand != nil && len(c.missing) > bulkThreshold {
		// Nodes that start at the same time begin with different chunks, so that
		// they can fetch the rest from each other.
		c.missing = rotate(c.missing, m.Rand.IntN(len(c.missing)))
	}
	m.candidates = append(m.candidates, c)
	slices.SortFunc(m.candidates, func(a, b *candidate) int { return cmp.Compare(b.Version, a.Version) })
	m.dropExcess()
	m.advance(now)
}

// dropExcess drops the candidate with the most attempts if there are more than
// maxCandidates, so that heads whose chunks no source has do not crowd out others.
func (m *Machine) dropExcess() {
	if len(m.candidates) <= maxCandidates {
		return
	}
	worst := 0
	for i, c := range m.candidates {
		if c.attempts >= m.candidates[worst].attempts {
			worst = i
		}
	}
	m.candidates = slices.Delete(m.candidates, worst, worst+1)
}

// addOffer records another source of a candidate. It is queried at once if no
// request for the candidate is pending.
func (m *Machine) addOffer(now time.Time, c *candidate, from Source) {
	if !slices.Contains(c.offeredBy, from) {
		c.offeredBy = append(c.offeredBy, from)
		c.nextAttempt = now
	}
	m.advance(now)
}

// advance accepts every candidate whose chunks are complete, newest first, and
// requests the missing chunks of the others.
func (m *Machine) advance(now time.Time) {
	for i := 0; i < len(m.candidates); {
		c := m.candidates[i]
		if len(c.missing) > 0 {
			i++
			continue
		}
		m.candidates = slices.Delete(m.candidates, i, i+1)
		m.accept(c)
		i = 0
	}
	for _, c := range m.candidates {
		m.fetch(now, c)
	}
}

// accept validates a complete version and replaces the held one if it is valid.
func (m *Machine) accept(c *candidate) {
	m.emit(Announce{Head: c.Head, Base: m.held})
	version, reasons := m.build(c.Head)
	if len(reasons) > 0 {
		m.reject(Rejection{Number: c.Version, Hash: c.Hash, Reasons: truncateReasons(reasons)})
		m.dropUnused()
		return
	}
	m.held, m.version = c.Head, version
	m.candidates = slices.DeleteFunc(m.candidates, func(o *candidate) bool { return o.Version <= c.Version })
	if m.search.number <= c.Version {
		m.search = search{}
	}
	m.dropUnused()
	m.emit(Apply{Head: c.Head, Version: version})
}

// build returns the version of a head whose chunks are complete, or the reasons
// why it is invalid. If few chunks changed, it updates the held version instead,
// which gives the same result in far less time.
func (m *Machine) build(head Head) (*plans.Version, []string) {
	if m.version != nil {
		if change, ok := m.store.diff(m.held.Head, head.Head); ok {
			if version, ok := plans.Update(m.version, head.Version, change); ok {
				return version, nil
			}
		}
	}
	customers, planList, reasons := m.store.lists(head.Head)
	if len(reasons) > 0 {
		return nil, reasons
	}
	version, faults := plans.Build(head.Version, customers, planList)
	for _, f := range faults {
		reasons = append(reasons, f.String())
	}
	return version, reasons
}

// dropUnused drops the chunks that neither the held head nor a candidate lists.
func (m *Machine) dropUnused() {
	heads := []objects.Head{m.held.Head}
	for _, c := range m.candidates {
		heads = append(heads, c.Head.Head)
	}
	m.store.retain(heads)
}

// reject records and reports a rejected version, once.
func (m *Machine) reject(r Rejection) {
	if m.isRejected(r.Hash) {
		return
	}
	m.rejections = appendBounded(m.rejections, r)
	m.emit(Reject{Number: r.Number, Hash: r.Hash, Reasons: r.Reasons})
}

// markHeldByPeer records that a peer holds a version that this node rejected,
// which happens during an upgrade between two releases. The version is not
// searched for again.
func (m *Machine) markHeldByPeer(from Source, hash string) {
	for i, r := range m.rejections {
		if r.Hash == hash && from != Platform {
			m.rejections[i].heldByPeer = true
		}
	}
}

func (m *Machine) isRejected(hash string) bool {
	return slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Hash == hash })
}

// truncateReasons returns at most maxReasons reasons and the number of the others.
func truncateReasons(reasons []string) []string {
	if len(reasons) <= maxReasons {
		return reasons
	}
	more := len(reasons) - maxReasons
	return append(reasons[:maxReasons:maxReasons], fmt.Sprintf("%d more", more))
}

// appendBounded appends v and drops the oldest element if the list already has
// maxRemembered elements.
func appendBounded[T any](list []T, v T) []T {
	if len(list) >= maxRemembered {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

// rotate returns the list starting with its n-th element, followed by the first n.
func rotate(list []string, n int) []string {
	return append(slices.Clone(list[n:]), list[:n]...)
}
