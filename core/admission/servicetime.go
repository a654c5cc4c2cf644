package admission

import "time"

// serviceTime holds moving averages of the time that calls take and of its
// deviation.
type serviceTime struct {
	average, deviation time.Duration
}

// serviceTimeDivisor is the inverse of the weight of a new sample in the averages.
const serviceTimeDivisor = 32

func (s *serviceTime) observe(took time.Duration) {
	if s.average == 0 {
		s.average = max(took, 1)
		return
	}
	off := took - s.average
	s.average = max(s.average+off/serviceTimeDivisor, 1)
	s.deviation += (max(off, -off) - s.deviation) / serviceTimeDivisor
}

// mean returns the mean time, or 0 before the first call has ended.
func (s *serviceTime) mean() time.Duration { return s.average }

// lowerBound returns a time that most calls exceed.
func (s *serviceTime) lowerBound() time.Duration { return max(s.average-s.deviation, s.average/4) }
