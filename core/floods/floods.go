// Package floods tells when client accounts begin and cease to send more than their limits.
//
//	var w floods.Watch
//	if w.Saw(now, "depot", excess) {
//		log("depot has begun to flood")
//	}
//	for _, e := range w.Ended(now) {
//		log(e.Account, "has ceased after", e.Lasted)
//	}
package floods

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quietTime is the time without excess after which a flood has ended. Shorter pauses
	// are part of it, so that an account at its limit does not begin again and again.
	quietTime = 3 * time.Second
	// maxAccounts bounds the floods that are known at once.
	maxAccounts = 100
)

// Watch knows the accounts that flood. The zero value is ready to use. It is not safe for
// concurrent use.
type Watch struct {
	floods map[string]*flood
}

type flood struct {
	began, last time.Time
	highest     float64
}

// End is a flood that has ended.
type End struct {
	Account string
	// Lasted is the time from the first to the last excess.
	Lasted time.Duration
	// Highest is the highest part of the account's requests that was beyond its limit.
	Highest float64
}

// Saw records the part of an account's requests that are beyond its limit, from 0 to 1. It
// returns true if the account has begun to flood. Beyond a hundred floods at once, others are
// not recorded.
func (w *Watch) Saw(now time.Time, account string, excess float64) bool {
	if excess <= 0 {
		return false
	}
	f, known := w.floods[account]
	if !known {
		if len(w.floods) >= maxAccounts {
			return false
		}
		if w.floods == nil {
			w.floods = make(map[string]*flood)
		}
		f = &flood{began: now}
		w.floods[account] = f
	}
	f.last, f.highest = now, max(f.highest, excess)
	return !known
}

// Ended returns the floods that have ended, by account, and forgets them.
func (w *Watch) Ended(now time.Time) []End {
	var list []End
	for account, f := range w.floods {
		if now.Sub(f.last) > quietTime {
			list = append(list, End{account, f.last.Sub(f.began), f.highest})
			delete(w.floods, account)
		}
	}
	slices.SortFunc(list, func(a, b End) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
