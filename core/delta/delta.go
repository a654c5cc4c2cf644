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
	// maxLinks bounds the deltas of a history, and maxHistory their size in bytes.
	maxLinks   = 64
	maxHistory = 64 << 10
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
	at := make(map[uint64]int)
	for start := 0; start < len(before); {
		end := segmentEnd(before, start)
		hash := xxhash.Sum64(before[start:end])
		if _, ok := at[hash]; !ok {
			at[hash] = start
		}
		start = end
	}
	d := messages.Delta{Before: Digest(before), After: Digest(after)}
	for start := 0; start < len(after); {
		end := segmentEnd(after, start)
		addSegment(&d, before, after[start:end], at)
		start = end
	}
	return d
}

// addSegment appends a segment. It extends the last range if the segment follows it in the
// earlier document.
func addSegment(d *messages.Delta, before, segment []byte, at map[uint64]int) {
	var last *messages.DeltaPart
	if n := len(d.Parts); n > 0 {
		last = &d.Parts[n-1]
	}
	if last != nil && last.Text == "" {
		end := last.At + last.Length
		if end+len(segment) <= len(before) && bytes.Equal(before[end:end+len(segment)], segment) {
			last.Length += len(segment)
			return
		}
	}
	start, ok := at[xxhash.Sum64(segment)]
	// Different segments may have the same hash.
	ok = ok && bytes.HasPrefix(before[start:], segment)
	switch {
	case ok && len(segment) >= minRange:
		d.Parts = append(d.Parts, messages.DeltaPart{At: start, Length: len(segment)})
	case last != nil && last.Text != "":
		last.Text += string(segment)
	default:
		d.Parts = append(d.Parts, messages.DeltaPart{Text: string(segment)})
	}
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
	h.undo = append([]messages.Delta{Between(after, before)}, h.undo[:min(len(h.undo), maxUndo-1)]...)
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
