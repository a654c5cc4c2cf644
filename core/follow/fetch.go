package follow

import (
	"slices"
	"time"
)

// fetch asks the next source for chunks that a candidate lacks, unless it waits
// for an answer or pauses.
func (m *Machine) fetch(now time.Time, c *candidate) {
	if c.asked != "" || now.Before(c.nextTry) {
		return
	}
	sources := m.sources(c)
	if len(sources) == 0 {
		return
	}
	c.asked = sources[c.tries%len(sources)]
	c.deadline = now.Add(chunkTimeout)
	m.do(FetchChunks{From: c.asked, Hashes: slices.Clone(c.missing[:min(len(c.missing), c.batch())])})
}

// batch returns how many chunks the candidate asks for at once. Each failure
// halves it, so that a source or a network that is too slow for a whole batch
// still gives a part in time.
func (c *candidate) batch() int {
	batch := maxBatch
	if c.asked == Platform && len(c.missing) > bulk {
		batch = platformBatch
	}
	return max(1, batch>>min(c.failures, maxHalvings))
}

// sources returns whom to ask for the chunks of a candidate, the best first:
// those that offered it, then other peers, then the platform. A few chunks are
// taken from the platform directly when the platform offered them. A node that
// is no reader turns to the platform only after some rounds.
func (m *Machine) sources(c *candidate) []Source {
	sources := make([]Source, 0, len(c.offers)+len(m.peers)+1)
	few := len(c.missing) <= bulk
	for _, s := range c.offers {
		if s != Platform || few {
			sources = append(sources, s)
		}
	}
	for _, s := range m.peers {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	if !slices.Contains(sources, Platform) && (m.askPlatform || c.tries >= patience*len(sources)) {
		sources = append(sources, Platform)
	}
	return sources
}

func (m *Machine) chunksReceived(now time.Time, e ChunksReceived) {
	progress := false
	for _, data := range e.Chunks {
		hash := m.store.hashOf(data)
		if m.store.has(hash) {
			continue
		}
		if !m.isMissing(hash) {
			m.do(Untrusted{From: e.From, Detail: "a chunk that was not asked for, or whose content does not match its hash"})
			continue
		}
		m.store.add(hash, data)
		progress = true
		for _, c := range m.candidates {
			c.missing = slices.DeleteFunc(c.missing, func(h string) bool { return h == hash })
		}
	}
	if !progress {
		m.fetchFailed(now, e.From, 0)
		return
	}
	for _, c := range m.candidates {
		if c.asked == e.From {
			// The same source is asked for the rest, but the platform only once in
			// each round: other readers have read other chunks meanwhile.
			c.asked = ""
			c.failures = max(0, c.failures-1)
			if e.From == Platform && len(c.missing) > bulk {
				c.tries++
			}
		}
	}
	m.advance(now)
}

func (m *Machine) isMissing(hash string) bool {
	for _, c := range m.candidates {
		if slices.Contains(c.missing, hash) {
			return true
		}
	}
	return false
}

func (m *Machine) fetchFailed(now time.Time, from Source, retryAfter time.Duration) {
	for _, c := range m.candidates {
		if c.asked == from {
			m.nextSource(now, c, retryAfter)
		}
	}
	m.advance(now)
}

// nextSource moves on to another source, and pauses after each round of all.
func (m *Machine) nextSource(now time.Time, c *candidate, retryAfter time.Duration) {
	c.asked = ""
	c.tries++
	if retryAfter == 0 {
		c.failures++
	}
	sources := len(m.sources(c))
	if sources == 0 || c.tries%sources == 0 {
		c.nextTry = now.Add(max(m.pause(c.tries/max(sources, 1)), retryAfter))
	}
}

func (m *Machine) tick(now time.Time) {
	for _, c := range m.candidates {
		if c.asked != "" && now.After(c.deadline) {
			m.nextSource(now, c, 0)
		}
	}
	m.advance(now)
	m.lookFor(now)
}

func (m *Machine) versionHeard(now time.Time, e VersionHeard) {
	if e.Number <= m.held.Version || m.knows(e.Number) {
		return
	}
	if e.Number > m.search.number {
		m.search = search{number: e.Number, from: e.From, open: make(map[Source]bool)}
	}
	m.lookFor(now)
}

// knows says whether the number is being fetched, or was rejected although a
// peer holds it. A number that was rejected before may have other content at the
// peers, if the platform was restored in between.
func (m *Machine) knows(number uint64) bool {
	return slices.ContainsFunc(m.candidates, func(c *candidate) bool { return c.Version == number }) ||
		slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Number == number && r.held })
}

// lookFor asks a few sources at once for a head that somebody has.
func (m *Machine) lookFor(now time.Time) {
	s := &m.search
	if s.number == 0 || now.Before(s.nextTry) {
		return
	}
	if len(s.open) > 0 && now.Before(s.deadline) {
		return
	}
	clear(s.open)
	if s.rounds >= headRounds {
		// It is heard of again when somebody still has it.
		m.search = search{}
		return
	}
	sources := m.headSources()
	if len(sources) == 0 {
		s.rounds++
		s.nextTry = now.Add(m.pause(s.rounds))
		return
	}
	for range min(headSources, len(sources)) {
		from := sources[s.next%len(sources)]
		s.next++
		s.open[from] = true
		m.do(FetchHead{From: from})
	}
	s.rounds++
	s.deadline = now.Add(headTimeout)
	s.nextTry = time.Time{}
}

func (m *Machine) headSources() []Source {
	var sources []Source
	if m.search.from != "" {
		sources = append(sources, m.search.from)
	}
	for _, s := range m.peers {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	if m.askPlatform && !slices.Contains(sources, Platform) {
		sources = append(sources, Platform)
	}
	return sources
}

// headFailed ends the question to one source and pauses after the last one.
func (m *Machine) headFailed(now time.Time, from Source) {
	s := &m.search
	if !s.open[from] {
		return
	}
	delete(s.open, from)
	if len(s.open) > 0 {
		return
	}
	if s.next >= len(m.headSources()) {
		s.nextTry = now.Add(m.pause(s.rounds))
	}
	m.lookFor(now)
}

// searchEnded ends the search when the head that came is new enough.
func (m *Machine) searchEnded(from Source, number uint64) {
	delete(m.search.open, from)
	if number >= m.search.number {
		m.search = search{}
	}
}
