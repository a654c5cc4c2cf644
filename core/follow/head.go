package follow

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/border"
	"lavenderdeal/schema/objects"
)

var headDecoder = border.MustNew[objects.Head](objects.Schema, "Head")

// DecodeHead checks a head as the platform keeps it.
func DecodeHead(raw []byte) (Head, error) {
	head, err := headDecoder.Decode(raw)
	if err != nil {
		return Head{}, err
	}
	return Head{Head: head, Raw: raw, Hash: chunk.Of(raw).Hash}, nil
}

func (m *Machine) headSeen(now time.Time, e HeadSeen) {
	head, err := DecodeHead(e.Raw)
	if err != nil {
		m.malformedHead(now, e, err)
		return
	}
	if e.From == Platform {
		m.platformSays(head)
	}
	if head.Version <= m.held.Version {
		if head.Version == m.held.Version && head.Hash != m.held.Hash {
			m.conflict(e.From, head, m.held.Hash)
		}
		m.headFailed(now, e.From)
		return
	}
	m.searchEnded(e.From, head.Version)
	if m.isRejected(head.Hash) {
		m.rejectedIsHeld(e.From, head.Hash)
		return
	}
	m.addCandidate(now, e.From, head)
}

func (m *Machine) malformedHead(now time.Time, e HeadSeen, err error) {
	m.headFailed(now, e.From)
	if e.From != Platform {
		m.do(Untrusted{From: e.From, Detail: "head: " + err.Error()})
		return
	}
	m.reject(Rejection{Hash: chunk.Of(e.Raw).Hash, Reasons: []string{"head: " + err.Error()}})
}

// platformSays reports once when the platform is behind what is held, and once
// when it no longer is.
func (m *Machine) platformSays(head Head) {
	if head.Version >= m.held.Version {
		if m.behind != "" {
			m.behind = ""
			m.do(StoreCaughtUp{Platform: head.Version})
		}
		return
	}
	mark := head.Hash
	if mark == "" {
		mark = "empty"
	}
	if m.behind == mark {
		return
	}
	m.behind = mark
	m.do(StoreBehind{Held: m.held.Version, Platform: head.Version})
}

func (m *Machine) conflict(from Source, head Head, taken string) {
	if slices.Contains(m.conflicts, head.Hash) {
		return
	}
	m.conflicts = remember(m.conflicts, head.Hash)
	m.do(Conflict{From: from, Number: head.Version, Held: taken, Other: head.Hash})
}

func (m *Machine) addCandidate(now time.Time, from Source, head Head) {
	for _, c := range m.candidates {
		if c.Hash == head.Hash {
			m.offered(now, c, from)
			return
		}
		if c.Version == head.Version {
			m.conflict(from, head, c.Hash)
			return
		}
	}
	c := &candidate{Head: head, offers: []Source{from}}
	c.missing = m.store.missing(head.Head)
	if m.Rand != nil && len(c.missing) > bulk {
		// Nodes that start together begin at different chunks, and then find
		// the rest at each other.
		c.missing = rotate(c.missing, m.Rand.IntN(len(c.missing)))
	}
	m.candidates = append(m.candidates, c)
	slices.SortFunc(m.candidates, func(a, b *candidate) int { return cmp.Compare(b.Version, a.Version) })
	m.dropExcess()
	m.advance(now)
}

// dropExcess drops the candidate that was tried most often, so that heads whose
// chunks nobody has do not keep out others.
func (m *Machine) dropExcess() {
	if len(m.candidates) <= maxCandidates {
		return
	}
	worst := 0
	for i, c := range m.candidates {
		if c.tries >= m.candidates[worst].tries {
			worst = i
		}
	}
	m.candidates = slices.Delete(m.candidates, worst, worst+1)
}

// offered notes another source and asks it at once when nobody is being asked.
func (m *Machine) offered(now time.Time, c *candidate, from Source) {
	if !slices.Contains(c.offers, from) {
		c.offers = append(c.offers, from)
		c.nextTry = now
	}
	m.advance(now)
}

// advance takes every version that is complete, the newest first, and asks for
// what the others lack.
func (m *Machine) advance(now time.Time) {
	for i := 0; i < len(m.candidates); {
		c := m.candidates[i]
		if len(c.missing) > 0 {
			i++
			continue
		}
		m.candidates = slices.Delete(m.candidates, i, i+1)
		m.take(c)
		i = 0
	}
	for _, c := range m.candidates {
		m.fetch(now, c)
	}
}

// take checks a version as a whole and holds it when it is valid.
func (m *Machine) take(c *candidate) {
	m.do(Announce{Head: c.Head, Base: m.held})
	version, reasons := m.build(c.Head)
	if len(reasons) > 0 {
		m.reject(Rejection{Number: c.Version, Hash: c.Hash, Reasons: shorten(reasons)})
		m.dropUnused()
		return
	}
	m.held, m.version = c.Head, version
	m.candidates = slices.DeleteFunc(m.candidates, func(o *candidate) bool { return o.Version <= c.Version })
	if m.search.number <= c.Version {
		m.search = search{}
	}
	m.dropUnused()
	m.do(Apply{Head: c.Head, Version: version})
}

// build returns the version of a head whose chunks are all here, or why there is
// none. A change of few chunks is applied to the version held, which gives the
// same result in far less time.
func (m *Machine) build(head Head) (*plans.Version, []string) {
	if m.version != nil {
		if change, ok := m.store.change(m.held.Head, head.Head); ok {
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

func (m *Machine) dropUnused() {
	heads := []objects.Head{m.held.Head}
	for _, c := range m.candidates {
		heads = append(heads, c.Head.Head)
	}
	m.store.keep(heads)
}

func (m *Machine) reject(r Rejection) {
	if m.isRejected(r.Hash) {
		return
	}
	m.rejections = remember(m.rejections, r)
	m.do(Reject{Number: r.Number, Hash: r.Hash, Reasons: r.Reasons})
}

// rejectedIsHeld notes that a peer holds a version that this node rejected, as
// during an upgrade between two releases. It need not be looked for again.
func (m *Machine) rejectedIsHeld(from Source, hash string) {
	for i, r := range m.rejections {
		if r.Hash == hash && from != Platform {
			m.rejections[i].held = true
		}
	}
}

func (m *Machine) isRejected(hash string) bool {
	return slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Hash == hash })
}

func shorten(reasons []string) []string {
	if len(reasons) <= maxReasons {
		return reasons
	}
	more := len(reasons) - maxReasons
	return append(reasons[:maxReasons:maxReasons], fmt.Sprintf("%d more", more))
}

// remember appends and drops the oldest above a bound.
func remember[T any](list []T, v T) []T {
	if len(list) >= maxRemembered {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func rotate(list []string, n int) []string {
	return append(slices.Clone(list[n:]), list[:n]...)
}
