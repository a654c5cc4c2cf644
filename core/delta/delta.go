// Package delta describes a document by what it has in common with an earlier one, so that
// a node that has the earlier one need not receive all of it again.
//
//	d := delta.Between(before, after)
//	after, err := delta.Apply(before, d)
//
// # Parts
//
// A delta is a list of parts, each a range of the earlier document or new text. Both
// documents are split into segments that end with a closing bracket, which is where the
// rows of a JSON table end. A run of segments that the earlier document has becomes a
// range. The result is correct for any content, and short if few rows differ.
//
// # Digests
//
// A delta holds the digests of both documents. Apply returns the later document as a
// whole or an error, whatever the delta contains.
//
// # History
//
// A [History] holds the latest deltas of a node, so that it can answer a node that has one
// of the earlier documents:
//
//	var h delta.History
//	h.Add(before, after)
//	deltas, ok := h.Since(delta.Digest(before))
//
// Nodes skip versions that follow each other quickly, and not all the same ones. So a node
// names the last few documents that it had, and restores the one that the deltas start at.
package delta

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	messages "lavenderdeal/schema/roster"
)

const (
	// digestBytes is the length of a digest before it is encoded.
	digestBytes = 16
	// maxDocument bounds the later document, in bytes.
	maxDocument = 8 << 20
	// minRange is the length in bytes from which a range is shorter than its text.
	minRange = 24
	// maxMisses is the number of new segments in a row from which the earlier document is
	// searched for them.
	maxMisses = 4
	// maxLinks bounds the deltas of a history, and maxHistory their size in bytes. A
	// thousand new routes are less than half of it.
	maxLinks   = 64
	maxHistory = 512 << 10
	// maxUndo bounds the earlier documents that a history can restore.
	maxUndo = 8
)

// Digest returns the digest of a document.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:digestBytes])
}

// Between returns the delta from one document to another.
func Between(before, after []byte) messages.Delta {
	return messages.Delta{Before: Digest(before), After: Digest(after), Parts: compare(before, after)}
}

// compare returns the parts of the delta from one document to another.
func compare(before, after []byte) []messages.DeltaPart {
	c := comparison{before: before, after: after}
	c.run()
	return c.parts
}

// comparison compares two documents segment by segment.
type comparison struct {
	before, after []byte
	parts         []messages.DeltaPart
	// next is the offset in before at which the next segment is expected.
	next int
	// textStart and textEnd are the range of after that is not in a part yet.
	textStart, textEnd int
	// misses counts the segments in a row that were not found.
	misses int
	// starts holds the offsets of the segments of before by hash. It is built after
	// maxMisses.
	starts map[uint64]int
}

func (c *comparison) run() {
	for start := 0; start < len(c.after); {
		end := segmentEnd(c.after, start)
		segment := c.after[start:end]
		at, ok := c.find(segment)
		switch {
		case ok && (c.continues(at) || len(segment) >= minRange):
			c.misses = 0
			c.addRange(at, len(segment))
		case ok:
			c.misses = 0
			c.next = max(c.next, at+len(segment))
			c.extendText(start, end)
		default:
			c.misses++
			c.extendText(start, end)
		}
		start = end
	}
	c.addText()
}

// extendText adds a range of the later document to the text of the next part.
func (c *comparison) extendText(start, end int) {
	if c.textStart == c.textEnd {
		c.textStart = start
	}
	c.textEnd = end
}

// find returns the offset of a segment in the earlier document. It tries the next segment
// and the one behind it first, so that documents that differ in a few rows are compared
// without an index.
func (c *comparison) find(segment []byte) (int, bool) {
	if bytes.HasPrefix(c.before[c.next:], segment) {
		return c.next, true
	}
	behind := segmentEnd(c.before, c.next)
	if bytes.HasPrefix(c.before[behind:], segment) {
		return behind, true
	}
	if c.misses < maxMisses {
		return 0, false
	}
	if c.starts == nil {
		c.index()
	}
	at, ok := c.starts[xxhash.Sum64(segment)]
	// Different segments may have the same hash.
	return at, ok && bytes.HasPrefix(c.before[at:], segment)
}

// index fills starts with the first offset of each segment.
func (c *comparison) index() {
	c.starts = make(map[uint64]int)
	for start := 0; start < len(c.before); {
		end := segmentEnd(c.before, start)
		hash := xxhash.Sum64(c.before[start:end])
		if _, ok := c.starts[hash]; !ok {
			c.starts[hash] = start
		}
		start = end
	}
}

// continues reports whether a range at an offset continues the last part.
func (c *comparison) continues(at int) bool {
	n := len(c.parts)
	return n > 0 && c.textStart == c.textEnd && c.parts[n-1].At+c.parts[n-1].Length == at
}

// addRange appends a range of the earlier document, or extends the last one.
func (c *comparison) addRange(at, length int) {
	c.next = at + length
	if c.continues(at) {
		c.parts[len(c.parts)-1].Length += length
		return
	}
	c.addText()
	c.parts = append(c.parts, messages.DeltaPart{At: at, Length: length})
}

// addText appends the text that is not in a part yet.
func (c *comparison) addText() {
	if c.textStart < c.textEnd {
		c.parts = append(c.parts, messages.DeltaPart{Text: string(c.after[c.textStart:c.textEnd])})
	}
	c.textStart, c.textEnd = 0, 0
}

// segmentEnd returns the end of the segment that starts at an offset.
func segmentEnd(document []byte, start int) int {
	for i := start; i < len(document); i++ {
		if document[i] == ']' || document[i] == '}' {
			return i + 1
		}
	}
	return len(document)
}

// Size returns the approximate length of a delta on the wire, in bytes.
func Size(d messages.Delta) int {
	n := 2 * digestBytes * 2
	for _, p := range d.Parts {
		n += minRange + len(p.Text)
	}
	return n
}

// Apply returns the later document. It returns an error if before is not the earlier
// document of the delta, or if the delta is damaged.
func Apply(before []byte, d messages.Delta) ([]byte, error) {
	if got := Digest(before); got != d.Before {
		return nil, errors.Newf("delta from document %q, got document %q", d.Before, got)
	}
	size := 0
	for i, p := range d.Parts {
		switch {
		case p.Text != "":
			size += len(p.Text)
		case p.At < 0 || p.Length <= 0 || p.Length > len(before) || p.At > len(before)-p.Length:
			return nil, errors.Newf("delta: part %d is the range %d+%d of %d bytes", i, p.At, p.Length, len(before))
		default:
			size += p.Length
		}
		if size > maxDocument {
			return nil, errors.Newf("delta: the document has more than %d bytes", maxDocument)
		}
	}
	after := make([]byte, 0, size)
	for _, p := range d.Parts {
		if p.Text != "" {
			after = append(after, p.Text...)
		} else {
			after = append(after, before[p.At:p.At+p.Length]...)
		}
	}
	if got := Digest(after); got != d.After {
		return nil, errors.Newf("delta to document %q gave document %q", d.After, got)
	}
	return after, nil
}

// History holds the deltas that lead to the present document, and those that lead from it
// back to the documents before. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type History struct {
	digest string
	links  []messages.Delta
	size   int
	// undo holds the deltas to earlier documents, the latest first.
	undo []messages.Delta
}

// Add adds the next document. The document before it is empty at first.
func (h *History) Add(before, after []byte) {
	if len(before) == 0 {
		*h = History{digest: Digest(after)}
		return
	}
	d := Between(before, after)
	h.digest = d.After
	if n := len(h.links); n > 0 && h.links[n-1].After != d.Before || Size(d) > maxHistory {
		h.links, h.size, h.undo = nil, 0, nil
	}
	if Size(d) > maxHistory {
		return
	}
	h.links = append(h.links, d)
	h.size += Size(d)
	for len(h.links) > maxLinks || h.size > maxHistory {
		h.size -= Size(h.links[0])
		h.links = h.links[1:]
	}
	undo := messages.Delta{Before: d.After, After: d.Before, Parts: compare(after, before)}
	h.undo = append([]messages.Delta{undo}, h.undo[:min(len(h.undo), maxUndo-1)]...)
}

// Digests returns the digests of the present document and of those that Restore returns,
// the latest first.
func (h *History) Digests() []string {
	if h.digest == "" {
		return nil
	}
	digests := []string{h.digest}
	for _, d := range h.undo {
		digests = append(digests, d.After)
	}
	return digests
}

// Since returns the deltas to the present document from the first of the documents, by
// their digests, that the history has. It returns false if it has none. The caller must not
// modify the slice.
func (h *History) Since(digests ...string) ([]messages.Delta, bool) {
	for _, digest := range digests {
		for i := len(h.links) - 1; i >= 0; i-- {
			if h.links[i].Before == digest {
				return h.links[i:], true
			}
		}
	}
	return nil, false
}

// Restore returns the document with a digest. The present document is given.
func (h *History) Restore(present []byte, digest string) ([]byte, error) {
	if digest == h.digest {
		return present, nil
	}
	document := present
	for _, d := range h.undo {
		var err error
		if document, err = Apply(document, d); err != nil {
			return nil, err
		}
		if d.After == digest {
			return document, nil
		}
	}
	return nil, errors.Newf("document %q is not among the last %d", digest, len(h.undo)+1)
}
