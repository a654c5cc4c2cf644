// Package memory bounds the memory that a node uses for what others send to it.
//
//	b := memory.New(32 << 20)
//	if !b.Reserve(n) {
//		return refuse()
//	}
//	defer b.Release(n)
package memory

import "sync/atomic"

// Budget is a number of bytes that may be in use at once. It is safe for concurrent use. A
// nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes from the budget. It returns false, and takes none, if fewer are
// left.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
