// Package lines writes the log of a node: JSON lines on an output that may be
// slow or full.
//
// A [Log] never blocks its caller. Lines go through a bounded buffer, and each
// kind of line has a budget a second; what is left out is counted and told in a
// line of its own:
//
//	l := lines.New(os.Stdout, "sidecar-catania-1")
//	if l.Allows("refused") {
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
	// perSecond is the budget of each kind. The heaviest node forwards some
	// hundred requests a second.
	perSecond = 20
	// buffered is the number of lines that wait for the output.
	buffered = 512
)

// Log writes lines. It is safe for use by several goroutines at once. Lock order:
// mu is the only lock.
type Log struct {
	node  string
	out   io.Writer
	queue chan []byte
	group errgroup.Group

	mu     sync.Mutex
	kinds  map[string]*kind
	closed bool
}

type kind struct {
	second time.Time
	used   int
	left   uint64
	total  uint64
}

// New starts a log of a node.
func New(out io.Writer, node string) *Log {
	l := &Log{node: node, out: out, queue: make(chan []byte, buffered), kinds: make(map[string]*kind)}
	l.group.Go(func() error {
		for line := range l.queue {
			if _, err := l.out.Write(line); err != nil {
				// Nobody reads the log: there is no place to say so.
				continue
			}
		}
		return nil
	})
	return l
}

// Allow counts a line of a kind and says whether it is to be written.
func (l *Log) Allow(name string) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{second: now}
		l.kinds[name] = k
	}
	k.total++
	if now.Sub(k.second) >= time.Second {
		k.second, k.used = now, 0
	}
	if k.used >= perSecond {
		k.left++
		return false
	}
	k.used++
	return true
}

// Write writes a line without asking for its budget.
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
	if k := l.kinds[name]; k != nil && k.left > 0 {
		record["leftOut"] = k.left
		k.left = 0
	}
	line, err := json.Marshal(record)
	if err != nil {
		line = []byte(`{"kind":"unwritable"}`)
	}
	if l.closed {
		return
	}
	select {
	case l.queue <- append(line, '\n'):
	default:
		l.countLeftLocked(name)
	}
}

// WriteLimited writes a line within the budget of its kind.
func (l *Log) WriteLimited(name string, fields log.Fields) {
	if l.Allow(name) {
		l.Write(name, fields)
	}
}

// Totals returns how many lines of each kind there were, written or not.
func (l *Log) Totals() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]uint64, len(l.kinds))
	for name, k := range l.kinds {
		totals[name] = k.total
	}
	return totals
}

// Close writes what waits, for as long as the output takes it, up to a limit.
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

func (l *Log) countLeftLocked(name string) {
	k := l.kinds[name]
	if k == nil {
		k = &kind{second: time.Now()}
		l.kinds[name] = k
	}
	k.left++
}
