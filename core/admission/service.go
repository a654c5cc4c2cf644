package admission

import "time"

// serviceTime is the time that calls of one priority take.
type serviceTime struct {
	average, deviation time.Duration
}

// serviceWeight is the inverse of the part of a new measurement in the average.
const serviceWeight = 32

func (s *serviceTime) observe(took time.Duration) {
	if s.average == 0 {
		s.average = max(took, 1)
		return
	}
	off := took - s.average
	s.average = max(s.average+off/serviceWeight, 1)
	s.deviation += (max(off, -off) - s.deviation) / serviceWeight
}

// mean returns the mean time, or 0 before the first call ended.
func (s *serviceTime) mean() time.Duration { return s.average }

// least returns the time below which few calls end.
func (s *serviceTime) least() time.Duration { return max(s.average-s.deviation, s.average/4) }
