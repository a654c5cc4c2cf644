package measure

import "math"

// line is a line fitted to measured points.
type line struct {
	intercept, slope float64
	// spread is the largest vertical distance of a point from the line.
	spread float64
}

// fit returns the least-squares line through the points (x[i], y[i]). Its slope is 0 if
// all x are equal.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	l := line{}
	if d := n*sumXX - sumX*sumX; d != 0 {
		l.slope = (n*sumXY - sumX*sumY) / d
	}
	l.intercept = (sumY - l.slope*sumX) / n
	for i := range x {
		l.spread = math.Max(l.spread, math.Abs(y[i]-l.at(x[i])))
	}
	return l
}

// at returns the value of the line at x, or 0 if that is negative.
func (l line) at(x float64) float64 { return math.Max(0, l.intercept+l.slope*x) }
