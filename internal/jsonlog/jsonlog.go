// Package jsonlog writes the log of a node as JSON lines to an output that may be
// slow or blocked.
//
// A [Log] never blocks its caller. Lines go through a bounded buffer, and each kind
// of line has a rate limit. Lines dropped by the rate limit are counted, and the next
// line of the kind has their number in the field leftOut. If the buffer is full, that
// line is dropped too, and the count restarts with it:
//
//	l := jsonlog.New(os.Stdout, "sidecar-catania-1")
//	if l.Allow("refused") {
//		l.Write("refused", log.Fields{"request": id})
//	}
package jsonlog

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
)

const (
	// maxLinesPerSecond is the rate limit of each kind of line, since the busiest node
	// forwards a few hundred requests per second.
	maxLinesPerSecond = 20
	// bufferCapacity is the capacity of the buffer, in lines.
	bufferCapacity = 512
)

// Log writes log lines. It is safe for concurrent use. Lock order: mu is the only
// lock.
type Log struct {
	node  string
	out   io.Writer
	queue chan []byte
	group errgroup.Group

	mu     sync.Mutex
	kinds  map[string]*kind
	closed bool
}

// kind holds the rate limit and the counters of one kind of line.
type kind struct {
	// windowStart is the start of the current window of one second, and allowed is
	// the number of lines that Allow permitted in it.
	windowStart time.Time
	allowed     int
	// dropped counts the lines that were dropped since the last call of Write for the
	// kind, including the line of that call if it was dropped.
	dropped uint64
	// total counts the lines passed to Allow.
	total uint64
}

// New returns a log that writes the lines of a node to out.
func New(out io.Writer, node string) *Log {
	l := &Log{node: node, out: out, queue: make(chan []byte, bufferCapacity), kinds: make(map[string]*kind)}
	l.group.Go(func() error {
		for line := range l.queue {
			if _, err := l.out.Write(line); err != nil {
				// The error cannot be reported: it would be reported in this log.
				continue
			}
		}
		return nil
	})
	return l
}

// Allow counts a line of the named kind and reports whether the rate limit allows it.
// A caller whose fields are costly calls Allow first and then Write; others call
// WriteLimited.
func (l *Log) Allow(name string) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{windowStart: now}
		l.kinds[name] = k
	}
	k.total++
	if now.Sub(k.windowStart) >= time.Second {
		k.windowStart, k.allowed = now, 0
	}
	if k.allowed >= maxLinesPerSecond {
		k.dropped++
		return false
	}
	k.allowed++
	return true
}

// Write writes a line of the named kind regardless of the rate limit. An error among
// the fields is written as its text, and fields that cannot be encoded are replaced by
// the kind "unwritable". Write drops the line if the buffer is full or the log is
// closed.
func (l *Log) Write(name string, fields log.Fields) {
	record := make(map[string]any, len(fields)+4)
	for key, value := range fields {
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		record[key] = value
	}
	record["kind"] = name
	record["node"] = l.node
	record["at"] = time.Now().UTC().Format("2006-01-02T15:04:05.000Z")
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k != nil && k.dropped > 0 {
		record["leftOut"] = k.dropped
	}
	line, err := json.Marshal(record)
	if err != nil {
		line = l.unwritable(record["at"])
	}
	if l.closed {
		return
	}
	select {
	case l.queue <- append(line, '\n'):
		if k != nil {
			k.dropped = 0
		}
	default:
		l.countDroppedLocked(name)
	}
}

// WriteLimited writes a line if the rate limit of its kind allows it.
func (l *Log) WriteLimited(name string, fields log.Fields) {
	if l.Allow(name) {
		l.Write(name, fields)
	}
}

// Totals returns the number of lines of each kind that were passed to Allow or
// WriteLimited, including dropped ones.
func (l *Log) Totals() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]uint64, len(l.kinds))
	for name, k := range l.kinds {
		totals[name] = k.total
	}
	return totals
}

// Close writes the buffered lines. It returns once they are written or the time limit
// has passed.
func (l *Log) Close(limit time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	written := make(chan struct{})
	var waiter errgroup.Group
	waiter.Go(func() error {
		_ = l.group.Wait()
		close(written)
		return nil
	})
	select {
	case <-written:
	case <-time.After(limit):
	}
}

// unwritable returns the line in place of one whose fields cannot be encoded.
func (l *Log) unwritable(at any) []byte {
	line, err := json.Marshal(map[string]any{"kind": "unwritable", "node": l.node, "at": at})
	if err != nil {
		return []byte(`{"kind":"unwritable"}`)
	}
	return line
}

// countDroppedLocked counts a dropped line of a kind. The caller holds mu.
func (l *Log) countDroppedLocked(name string) {
	k := l.kinds[name]
	if k == nil {
		k = &kind{windowStart: time.Now()}
		l.kinds[name] = k
	}
	k.dropped++
}
