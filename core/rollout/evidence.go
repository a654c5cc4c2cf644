package rollout

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of running times. The bounds of neighbours differ by a
	// factor of the square root of two, from firstBucket on.
	Buckets     = 40
	firstBucket = 500 * time.Microsecond
	// slowBuckets is the distance from the bucket of the old version's median from which a
	// running time counts as slow: more than 2.4 times as long.
	slowBuckets = 3

	// significance is the probability below which so many faults are no coincidence. The
	// evidence is judged about once a second, for a few classes.
	significance = 1e-4
	// A version may fail slightly more often than the other one by chance of its servers: by
	// the factor and the addend.
	tolerance      = 1.5
	failureMargin  = 0.01
	slownessMargin = 0.03
	// From manyFaults on beyond those expected, the deviation decides.
	manyFaults   = 20
	maxDeviation = 3.5
	// minOldRuns is the number of answers of the old version from which it is a measure.
	minOldRuns = 20
	// assumedRate is the part of faults of the old version that is assumed before.
	assumedRate = 0.05
	// badRate is the part of its answers that a bad version is assumed to spoil beyond those of
	// the old one, and leastRuns the number of answers that say something of it.
	badRate   = 0.2
	leastRuns = 5
)

// Tally counts the requests of one class that servers of one version have run.
type Tally struct {
	// Runs and Failed count the answers and the failures among them.
	Runs, Failed int
	// Times counts the running times by bucket, without those of servers that have just
	// started.
	Times [Buckets]int
}

// Tallies holds tallies by class.
type Tallies map[string]Tally

// Bucket returns the bucket of a running time.
func Bucket(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(Buckets-1, int(2*math.Log2(float64(took)/float64(firstBucket))))
}

// Add counts a run. The running time of a server that has just started is left out.
func (t *Tally) Add(took time.Duration, failed, isCold bool) {
	t.Runs++
	if failed {
		t.Failed++
	}
	if !isCold {
		t.Times[Bucket(took)]++
	}
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	t.Runs += other.Runs
	t.Failed += other.Failed
	for i, n := range other.Times {
		t.Times[i] += n
	}
	return t
}

// Merge adds the tallies of other to those of t.
func (t Tallies) Merge(other Tallies) {
	for class, tally := range other {
		t[class] = t[class].Plus(tally)
	}
}

// Runs returns the number of answers of all classes.
func (t Tallies) Runs() int {
	n := 0
	for _, tally := range t {
		n += tally.Runs
	}
	return n
}

// Failed returns the number of failures of all classes.
func (t Tallies) Failed() int {
	n := 0
	for _, tally := range t {
		n += tally.Failed
	}
	return n
}

// timed returns the number of running times.
func (t Tally) timed() int {
	n := 0
	for _, count := range t.Times {
		n += count
	}
	return n
}

// median returns the bucket of the median. The tally must have running times.
func (t Tally) median() int {
	half := (t.timed() + 1) / 2
	for i, count := range t.Times {
		if half -= count; half <= 0 {
			return i
		}
	}
	return Buckets - 1
}

// Median returns the upper bound of the bucket with the median of the running times, or 0 if
// there are none.
func (t Tally) Median() time.Duration {
	if t.timed() == 0 {
		return 0
	}
	return time.Duration(float64(firstBucket) * math.Exp2(float64(t.median()+1)/2))
}

// slow returns the number of running times in a bucket or above it.
func (t Tally) slow(bucket int) int {
	n := 0
	for i := min(bucket, Buckets); i < Buckets; i++ {
		n += t.Times[i]
	}
	return n
}

// fault is what a version does worse than the other one, or the zero value.
type fault struct {
	class, kind string
	// bad of runs answers had the fault; of the old version oldBad of oldRuns.
	bad, runs, oldBad, oldRuns int
}

// The kinds of faults.
const (
	kindFailures = "failures"
	kindSlow     = "slow answers"
)

// compare returns a fault of the new version that the old one does not have as often in the
// same window, or the zero value.
func compare(before, after Tallies) fault {
	var all, allBefore Tally
	for class, t := range after {
		old := before[class]
		all, allBefore = all.Plus(Tally{Runs: t.Runs, Failed: t.Failed}), allBefore.Plus(Tally{Runs: old.Runs, Failed: old.Failed})
		if f := (fault{class: class, kind: kindFailures, bad: t.Failed, runs: t.Runs, oldBad: old.Failed, oldRuns: old.Runs}); f.isProven(failureMargin) {
			return f
		}
		if old.timed() < minOldRuns {
			// The usual running time of the class is not known.
			continue
		}
		limit := old.median() + slowBuckets
		if f := (fault{class: class, kind: kindSlow, bad: t.slow(limit), runs: t.timed(), oldBad: old.slow(limit), oldRuns: old.timed()}); f.isProven(slownessMargin) {
			return f
		}
	}
	if f := (fault{kind: kindFailures, bad: all.Failed, runs: all.Runs, oldBad: allBefore.Failed, oldRuns: allBefore.Runs}); f.isProven(failureMargin) {
		return f
	}
	return fault{}
}

// speakFor reports whether few answers of the new version are more likely of a good version
// than of a bad one, by its failures and, if the usual running times are known, by its
// slow answers.
func speakFor(before, after Tallies) bool {
	failures, slowness := fault{oldBad: before.Failed(), oldRuns: before.Runs()}, fault{}
	for class, t := range after {
		failures.bad, failures.runs = failures.bad+t.Failed, failures.runs+t.Runs
		if old := before[class]; old.timed() >= minOldRuns {
			limit := old.median() + slowBuckets
			slowness.bad, slowness.runs = slowness.bad+t.slow(limit), slowness.runs+t.timed()
			slowness.oldBad, slowness.oldRuns = slowness.oldBad+old.slow(limit), slowness.oldRuns+old.timed()
		}
	}
	return failures.runs >= leastRuns && failures.odds() >= 1 && slowness.odds() >= 1
}

// rate returns the part of the old version's answers that have the fault.
func (f fault) rate() float64 {
	if f.oldRuns < minOldRuns {
		return assumedRate
	}
	return float64(f.oldBad+1) / float64(f.oldRuns+2)
}

// odds returns how much more likely the new version's answers are if it has the fault as often
// as the old one than if it is bad.
func (f fault) odds() float64 {
	good := f.rate()
	bad := good + badRate*(1-good)
	logOdds := float64(f.bad)*math.Log(good/bad) + float64(f.runs-f.bad)*math.Log((1-good)/(1-bad))
	return math.Exp(logOdds)
}

// isProven reports whether the new version has the fault more often than by chance.
func (f fault) isProven(margin float64) bool {
	rate := f.rate()
	if tail(f.runs, f.bad, min(1, rate*tolerance+margin)) < significance {
		return true
	}
	expected := rate * float64(f.runs)
	beyond := float64(f.bad) - expected
	return beyond >= manyFaults && float64(f.bad) >= 2*expected && beyond >= maxDeviation*math.Sqrt(max(expected, 1))
}

// tail returns the probability of at least k of n independent events of probability p.
func tail(n, k int, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if float64(k) <= p*float64(n) {
		// It is near one half or above.
		return 1
	}
	logP, logQ := math.Log(p), math.Log1p(-p)
	sum := 0.0
	lgN, _ := math.Lgamma(float64(n + 1))
	for i := k; i <= n; i++ {
		lgI, _ := math.Lgamma(float64(i + 1))
		lgR, _ := math.Lgamma(float64(n - i + 1))
		term := math.Exp(lgN - lgI - lgR + float64(i)*logP + float64(n-i)*logQ)
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return sum
}
