package measure

import (
	"syscall"
	"time"

	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/objectapi"
)

// usage is the resource usage of a fleet until now, or between two times.
type usage struct {
	takenAt  time.Time
	seconds  float64
	bytes    float64
	cpu      float64
	calls    float64
	byMethod map[string]float64
	byNode   map[string]float64
	// busiest is the number of bytes sent by the node that sent the most.
	busiest float64
}

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

func (s usage) perNodeSecond(nodes int) (bytes, cpu float64) {
	return s.bytes / float64(nodes) / s.seconds, s.cpu / float64(nodes) / s.seconds
}

// aboveIdle returns the usage above that of the idle fleet, per node and event.
func (s usage) aboveIdle(idle controlSample, nodes, events int) (bytes, cpu float64) {
	bytes = s.bytes/float64(nodes) - idle.idleBytes*s.seconds
	cpu = s.cpu/float64(nodes) - idle.idleCPU*s.seconds
	return max(0, bytes) / float64(events), max(0, cpu) / float64(events)
}

func platformCalls(c objectapi.Counts) float64 { return float64(c.Reads + c.Writes) }

func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
