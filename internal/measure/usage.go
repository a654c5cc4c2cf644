package measure

import (
	"syscall"
	"time"

	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/objectapi"
)

// usage is the resource usage of a fleet: the totals at one time, from [currentUsage],
// or the usage between two times, from [usage.since].
type usage struct {
	// takenAt and byNode are set for totals only, seconds and busiest for the usage
	// between two times only.
	takenAt time.Time
	seconds float64
	// bytes is the control traffic that all nodes sent.
	bytes float64
	// cpu is the processor time of the process, in seconds.
	cpu float64
	// calls is the number of reads and writes that the platform processed.
	calls float64
	// byMethod is bytes by the method of the message, and byNode is bytes by node id.
	byMethod map[string]float64
	byNode   map[string]float64
	// busiest is the number of bytes sent by the node that sent the most.
	busiest float64
}

// currentUsage returns the totals of the running nodes and of the process until now.
func currentUsage(fleet *localfleet.Fleet) usage {
	s := usage{takenAt: time.Now(), cpu: processCPU().Seconds(), byMethod: make(map[string]float64), byNode: make(map[string]float64)}
	for _, i := range fleet.Running() {
		traffic := i.Node.ControlTraffic()
		s.bytes += float64(traffic.BytesOut)
		s.byNode[i.Node.ID()] = float64(traffic.BytesOut)
		for method, n := range traffic.ByMethod {
			s.byMethod[method] += float64(n.BytesOut)
		}
	}
	s.calls = platformCalls(fleet.Store.Counts())
	return s
}

// since returns the usage from an earlier time until s. Both must be totals.
func (s usage) since(before usage) usage {
	d := usage{
		seconds:  s.takenAt.Sub(before.takenAt).Seconds(),
		bytes:    s.bytes - before.bytes,
		cpu:      s.cpu - before.cpu,
		calls:    s.calls - before.calls,
		byMethod: make(map[string]float64),
	}
	for method, n := range s.byMethod {
		d.byMethod[method] = n - before.byMethod[method]
	}
	for id, n := range s.byNode {
		d.busiest = max(d.busiest, n-before.byNode[id])
	}
	return d
}

// perNodeSecond returns the bytes and the seconds of processor time per node and second.
func (s usage) perNodeSecond(nodes int) (bytes, cpu float64) {
	return s.bytes / float64(nodes) / s.seconds, s.cpu / float64(nodes) / s.seconds
}

// aboveIdle returns the bytes and the seconds of processor time by which the usage
// exceeds that of the idle fleet, per node and event, or 0 if it does not.
func (s usage) aboveIdle(idle controlSample, nodes, events int) (bytes, cpu float64) {
	bytes = s.bytes/float64(nodes) - idle.idleBytes*s.seconds
	cpu = s.cpu/float64(nodes) - idle.idleCPU*s.seconds
	return max(0, bytes) / float64(events), max(0, cpu) / float64(events)
}

// platformCalls returns the number of calls that the platform processed. Calls that its
// rate limits refused or that failed during an outage do not count.
func platformCalls(c objectapi.Counts) float64 { return float64(c.Reads + c.Writes) }

// processCPU returns the user and system time of the process so far, or 0 if the system
// does not report it.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
