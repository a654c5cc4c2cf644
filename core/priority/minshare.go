package priority

// The minimum shares of slot time that each priority is guaranteed while calls of it
// wait, regardless of more urgent calls.
const (
	MinShareHigh   = 0.10
	MinShareNormal = 0.05
	MinShareBulk   = 0.05
)

// MinShare returns the share of slot time that the priority is guaranteed, in [0, 1).
// It is 0 for the most urgent priority, which is served first anyway.
func (p Priority) MinShare() float64 {
	switch p {
	case High:
		return MinShareHigh
	case Normal:
		return MinShareNormal
	case Bulk:
		return MinShareBulk
	}
	return 0
}
