package follow

import (
	"slices"
	"time"
)

// fetch requests missing chunks of a candidate from the next source, unless a
// request is pending or the candidate is backing off.
func (m *Machine) fetch(now time.Time, c *candidate) {
	if c.pendingSource != "" || now.Before(c.nextAttempt) {
		return
	}
	sources := m.sources(c)
	if len(sources) == 0 {
		return
	}
	c.pendingSource = sources[c.attempts%len(sources)]
	c.deadline = now.Add(chunkTimeout)
	m.emit(FetchChunks{From: c.pendingSource, Hashes: slices.Clone(c.missing[:min(len(c.missing), c.batch())])})
}

// batch returns how many chunks to request at once. Each failure halves it, so
// that a source or network too slow for a whole batch can still deliver part of
// it before the timeout.
func (c *candidate) batch() int {
	batch := maxBatch
	if c.pendingSource == Platform && len(c.missing) > bulkThreshold {
		batch = platformBatch
	}
	return max(1, batch>>min(c.failures, maxHalvings))
}

// sources returns the sources for the chunks of a candidate in order of
// preference: those that offered it, then other peers, then the platform. If the
// platform offered the candidate and few chunks are missing, the platform counts
// as one of the offers. A node that is not a reader uses the platform only after
// platformFallbackRounds rounds.
func (m *Machine) sources(c *candidate) []Source {
	sources := make([]Source, 0, len(c.offeredBy)+len(m.peers)+1)
	few := len(c.missing) <= bulkThreshold
	for _, s := range c.offeredBy {
		if s != Platform || few {
			sources = append(sources, s)
		}
	}
	for _, s := range m.peers {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	if !slices.Contains(sources, Platform) && (m.isReader || c.attempts >= platformFallbackRounds*len(sources)) {
		sources = append(sources, Platform)
	}
	return sources
}

// chunksReceived stores the chunks that were missing and reports those that are unknown.
// If none was missing, the request counts as failed.
func (m *Machine) chunksReceived(now time.Time, e ChunksReceived) {
	progress := false
	for _, data := range e.Chunks {
		hash := m.store.hashOf(data)
		if m.store.has(hash) {
			continue
		}
		if !m.isMissing(hash) {
			m.emit(InvalidData{From: e.From, Detail: "a chunk that was not asked for, or whose content does not match its hash"})
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
		if c.pendingSource == e.From {
			// Request the rest from the same source. The platform is queried only
			// once per round, since other readers have fetched other chunks meanwhile.
			c.pendingSource = ""
			c.failures = max(0, c.failures-1)
			if e.From == Platform && len(c.missing) > bulkThreshold {
				c.attempts++
			}
		}
	}
	m.advance(now)
}

// isMissing reports whether a candidate lacks the chunk.
func (m *Machine) isMissing(hash string) bool {
	for _, c := range m.candidates {
		if slices.Contains(c.missing, hash) {
			return true
		}
	}
	return false
}

// fetchFailed ends the pending requests for chunks to a source.
func (m *Machine) fetchFailed(now time.Time, from Source, retryAfter time.Duration) {
	for _, c := range m.candidates {
		if c.pendingSource == from {
			m.nextSource(now, c, retryAfter)
		}
	}
	m.advance(now)
}

// nextSource switches to the next source and backs off after each full round.
func (m *Machine) nextSource(now time.Time, c *candidate, retryAfter time.Duration) {
	c.pendingSource = ""
	c.attempts++
	if retryAfter == 0 {
		c.failures++
	}
	sources := len(m.sources(c))
	if sources == 0 || c.attempts%sources == 0 {
		c.nextAttempt = now.Add(max(m.backoff(c.attempts/max(sources, 1)), retryAfter))
	}
}

// tick ends the requests that have timed out and sends those that are due.
func (m *Machine) tick(now time.Time) {
	for _, c := range m.candidates {
		if c.pendingSource != "" && now.After(c.deadline) {
			m.nextSource(now, c, 0)
		}
	}
	m.advance(now)
	m.searchHead(now)
}

// versionReported starts a search for the head of a newer version unless it is known.
func (m *Machine) versionReported(now time.Time, e VersionReported) {
	if e.Number <= m.held.Version || m.isKnown(e.Number) {
		return
	}
	if e.Number > m.search.number {
		m.search = search{number: e.Number, from: e.From, pending: make(map[Source]bool)}
	}
	m.searchHead(now)
}

// isKnown reports whether a version with this number is being fetched, or was
// rejected and a peer holds the same one. A rejected number that no peer is known
// to hold is searched for: peers may have other content under it if the platform
// was restored in between.
func (m *Machine) isKnown(number uint64) bool {
	return slices.ContainsFunc(m.candidates, func(c *candidate) bool { return c.Version == number }) ||
		slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Number == number && r.heldByPeer })
}

// searchHead requests the head of the searched version from a few sources at once.
func (m *Machine) searchHead(now time.Time) {
	s := &m.search
	if s.number == 0 || now.Before(s.nextAttempt) {
		return
	}
	if len(s.pending) > 0 && now.Before(s.deadline) {
		return
	}
	clear(s.pending)
	if s.rounds >= maxHeadRounds {
		// A peer that still has the version will report it again.
		m.search = search{}
		return
	}
	sources := m.headSources()
	if len(sources) == 0 {
		s.rounds++
		s.nextAttempt = now.Add(m.backoff(s.rounds))
		return
	}
	for range min(maxHeadSources, len(sources)) {
		from := sources[s.nextSource%len(sources)]
		s.nextSource++
		s.pending[from] = true
		m.emit(FetchHead{From: from})
	}
	s.rounds++
	s.deadline = now.Add(headTimeout)
	s.nextAttempt = time.Time{}
}

// headSources returns the sources for the searched head in order of preference: the peer
// that reported it, then other peers, then for a reader the platform.
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
	if m.isReader && !slices.Contains(sources, Platform) {
		sources = append(sources, Platform)
	}
	return sources
}

// headFailed ends the request to one source and backs off after the last source.
func (m *Machine) headFailed(now time.Time, from Source) {
	s := &m.search
	if !s.pending[from] {
		return
	}
	delete(s.pending, from)
	if len(s.pending) > 0 {
		return
	}
	if s.nextSource >= len(m.headSources()) {
		s.nextAttempt = now.Add(m.backoff(s.rounds))
	}
	m.searchHead(now)
}

// endSearch ends the search if the received head is new enough.
func (m *Machine) endSearch(from Source, number uint64) {
	delete(m.search.pending, from)
	if number >= m.search.number {
		m.search = search{}
	}
}
