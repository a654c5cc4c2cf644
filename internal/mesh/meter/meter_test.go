package meter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lavenderdeal/internal/mesh/meter"
)

func ExampleMeter() {
	var m meter.Meter
	m.Gauge("slots", "requests", "requests that the own server runs at once", func() float64 { return 18 })
	fmt.Println(strings.Split(m.String(), "\n")[6])
	// Output: lavenderdeal_slots 18
}

func assertLine(t *testing.T, m *meter.Meter, want string) {
	t.Helper()
	if !strings.Contains(m.String(), want+"\n") {
		t.Fatalf("no line %q in\n%s", want, m)
	}
}

// Guards against wrong names, labels or counts in the served text, and against memory
// that grows with each new class of requests.
func TestMeter(t *testing.T) {
	var m meter.Meter
	c := meter.Class{Service: "bookings", Kind: "once", Rank: 1}
	for range 100 {
		m.Observe(c, "served", 100*time.Millisecond)
	}
	m.Observe(c, "refused", 2*time.Millisecond)
	t.Run("counts by outcome", func(t *testing.T) {
		assertLine(t, &m, `lavenderdeal_requests_total{service="bookings",kind="once",rank="1",inner="false",outcome="refused"} 1`)
	})
	t.Run("latencies by class", func(t *testing.T) {
		assertLine(t, &m, `lavenderdeal_request_seconds_count{service="bookings",kind="once",rank="1",inner="false"} 101`)
	})
	t.Run("counters by label", func(t *testing.T) {
		m.Counters("log_lines_total", "kind", "lines", func() map[string]uint64 { return map[string]uint64{"served": 3} })
		assertLine(t, &m, `lavenderdeal_log_lines_total{kind="served"} 3`)
	})
	t.Run("classes are bounded", func(t *testing.T) {
		for i := range 1000 {
			m.Observe(meter.Class{Service: fmt.Sprint(i)}, "served", time.Second)
		}
		if n := strings.Count(m.String(), "request_seconds_count"); n > 70 {
			t.Fatalf("%d classes have a histogram, want at most 70", n)
		}
	})
}
