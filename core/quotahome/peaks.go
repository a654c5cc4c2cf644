package quotahome

import (
	"slices"
	"time"
)

const (
	// peakTime is how long the levels of a bucket are known. Tokens come back earlier.
	peakTime = time.Second
	// maxPeaks bounds the levels that are kept of a bucket.
	maxPeaks = 64
)

// peaks holds the levels of a bucket over the last second, without those that were not above
// a later one.
type peaks []peak

type peak struct {
	at    time.Time
	level float64
}

// add records the level at a time, which is not before the last one.
func (p *peaks) add(now time.Time, level float64) {
	list := slices.DeleteFunc(*p, func(old peak) bool { return now.Sub(old.at) > peakTime || old.level <= level })
	if len(list) == maxPeaks {
		// The two oldest become one that is not lower at any time.
		list[1].level = list[0].level
		list = slices.Delete(list, 0, 1)
	}
	*p = append(list, peak{now, level})
}

// since returns the highest level after a time, which is at least the present one.
func (p peaks) since(at time.Time, present float64) float64 {
	for _, x := range p {
		if x.at.After(at) {
			return max(x.level, present)
		}
	}
	return present
}

// raise adds to all levels after a time.
func (p *peaks) raise(at time.Time, by float64) {
	first := slices.IndexFunc(*p, func(x peak) bool { return x.at.After(at) })
	if first < 0 {
		return
	}
	list := *p
	for i := range list[first:] {
		list[first+i].level += by
	}
	from := first
	for from > 0 && list[from-1].level <= list[first].level {
		from--
	}
	*p = slices.Delete(list, from, first)
}
