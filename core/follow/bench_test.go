package follow_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/follow"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

// Numbers of entries in a version of the expected production size.
const (
	largeCustomers = 100_000
	largePlans     = 200
	largeServices  = 500
)

// largeVersion returns a version of the expected production size. The value of
// change selects the plan of one customer.
func largeVersion(tb testing.TB, number uint64, change int) publishedVersion {
	tb.Helper()
	var customerList lists.CustomerList
	for i := range largeCustomers {
		name := fmt.Sprintf("customer-%06d", i)
		plan := fmt.Sprintf("plan-%d", i%largePlans)
		if i == 42 {
			plan = fmt.Sprintf("plan-%d", change%largePlans)
		}
		customerList.Customers = append(customerList.Customers, lists.Customer{Name: name, Plan: plan, KeyHashes: []string{plans.HashKey(name)}})
	}
	var planList lists.PlanList
	for i := range largeServices {
		planList.Services = append(planList.Services, lists.Service{Name: fmt.Sprintf("service-%d", i), Timeout: units.Duration(time.Second)})
	}
	for i := range largePlans {
		plan := lists.Plan{Name: fmt.Sprintf("plan-%d", i)}
		for j := range 20 {
			plan.Uses = append(plan.Uses, lists.Use{Service: fmt.Sprintf("service-%d", (i*7+j)%largeServices), Priority: lists.UsePriorityHigh})
		}
		planList.Plans = append(planList.Plans, plan)
	}
	customerChunks, err := chunk.SplitCustomers(customerList, 0)
	if err != nil {
		tb.Fatal(err)
	}
	planChunks, err := chunk.SplitPlans(planList, 0)
	if err != nil {
		tb.Fatal(err)
	}
	s := publishedVersion{raw: mustMarshal(objects.Head{
		Version: number, Operation: "op", ChangedAt: now.UTC(),
		CustomerChunks: chunk.Hashes(customerChunks), PlanChunks: chunk.Hashes(planChunks),
	})}
	for _, c := range append(customerChunks, planChunks...) {
		s.chunks = append(s.chunks, c.Data)
	}
	return s
}

// byHash returns the chunks of a version by their hashes.
func (s publishedVersion) byHash() map[string][]byte {
	byHash := make(map[string][]byte)
	for _, data := range s.chunks {
		byHash[chunk.New(data).Hash] = data
	}
	return byHash
}

// load passes a version to a machine, in the batches of chunks that it requests.
func load(tb testing.TB, m *follow.Machine, s publishedVersion, byHash map[string][]byte) {
	tb.Helper()
	var event follow.Event = follow.HeadReceived{From: follow.Platform, Raw: s.raw}
	for event != nil {
		effects := m.Step(now, event)
		event = nil
		for _, e := range effects {
			if e, ok := e.(follow.FetchChunks); ok {
				event = follow.ChunksReceived{From: e.From, Chunks: pick(byHash, e.Hashes)}
			}
		}
	}
	if m.Version() == nil {
		tb.Fatal("the version was not applied")
	}
}

// BenchmarkChange measures the time one node takes for a change of one customer
// among 100,000: decode the head, fetch one chunk, validate the whole version.
func BenchmarkChange(b *testing.B) {
	var m follow.Machine
	m.Step(now, follow.PeersChanged{IsReader: true})
	first := largeVersion(b, 1, 0)
	load(b, &m, first, first.byHash())
	var changes []publishedVersion
	var chunks []map[string][]byte
	for i := range 8 {
		changes = append(changes, largeVersion(b, 2, i+1))
		chunks = append(chunks, changes[i].byHash())
	}
	b.ReportAllocs()
	number := uint64(2)
	for b.Loop() {
		b.StopTimer()
		s, byHash := changes[int(number)%len(changes)], chunks[int(number)%len(changes)]
		head, err := follow.DecodeHead(s.raw)
		if err != nil {
			b.Fatal(err)
		}
		head.Version = number
		s.raw = mustMarshal(head.Head)
		number++
		b.StartTimer()
		load(b, &m, s, byHash)
		if m.Held().Version != head.Version {
			b.Fatal("the change was not applied")
		}
	}
}

// BenchmarkMemory measures the heap size of one version with its chunks.
func BenchmarkMemory(b *testing.B) {
	s := largeVersion(b, 1, 0)
	byHash := s.byHash()
	for b.Loop() {
		before := heapBytes()
		var m follow.Machine
		m.Step(now, follow.PeersChanged{IsReader: true})
		load(b, &m, s, byHash)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB/version")
		runtime.KeepAlive(&m)
	}
	size := 0
	for _, data := range s.chunks {
		size += len(data)
	}
	b.ReportMetric(float64(size)/(1<<20), "MB/chunks")
	b.ReportMetric(float64(len(s.chunks)), "chunks")
	b.ReportMetric(float64(len(s.raw)), "B/head")
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
