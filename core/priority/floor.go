package priority

// Floors are the shares of the slots' time that each priority keeps while calls
// of it wait, whatever more urgent work there is.
const (
	FloorHigh   = 0.10
	FloorNormal = 0.05
	FloorBulk   = 0.05
)

// Floor returns the share of the slots' time that the priority keeps, in [0, 1).
// The most urgent priority needs none: it is served first.
func (p Priority) Floor() float64 {
	switch p {
	case High:
		return FloorHigh
	case Normal:
		return FloorNormal
	case Bulk:
		return FloorBulk
	}
	return 0
}
