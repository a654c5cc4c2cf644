package follow

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lavenderdeal/core/chunk"
	core "lavenderdeal/core/follow"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/relay"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	largeCustomers = 100_000
	zoneNodes      = 160
)

// BenchmarkBytes reports the size of the messages that bring a change of one
// customer among 100,000 to one node, and of those that the node sends as a part
// of the tree. Each node except the readers receives one of each.
func BenchmarkBytes(b *testing.B) {
	base, _ := largeHead(b, 1, "plan-1")
	next, changed := largeHead(b, 2, "plan-2")
	for b.Loop() {
		announce := core.Announcement("0123456789abcdef", next, base)
		if announce.Base == "" {
			b.Fatal("the head is announced without edits to a base")
		}
		b.ReportMetric(size(b, announce), "B/announce")
		b.ReportMetric(forwardBytes(b)/zoneNodes, "B/forward")
		compressed, err := compress(changed)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(size(b, messages.Chunks{Chunks: [][]byte{compressed}}), "B/chunk")
		compressed, err = compress(next.Raw)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(size(b, messages.HeldHead{Head: compressed, Hash: next.Hash}), "B/head")
		b.ReportMetric(size(b, messages.Confirm{From: "0123456789abcdef", Reasons: []string{}})*relay.ReaderCount, "B/confirm")
	}
}

// forwardBytes returns the total size of the lists of descendants that the nodes
// of one zone send for one change.
func forwardBytes(b *testing.B) float64 {
	ids := make([]string, zoneNodes)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	var sum func(ids []string) float64
	sum = func(ids []string) float64 {
		total := 0.0
		for _, branch := range relay.Split(ids, relay.Fanout) {
			total += size(b, branch.Descendants) + sum(branch.Descendants)
		}
		return total
	}
	return sum(ids)
}

func largeHead(b *testing.B, number uint64, plan string) (head core.Head, changed []byte) {
	b.Helper()
	var list lists.CustomerList
	for i := range largeCustomers {
		name := fmt.Sprintf("customer-%06d", i)
		list.Customers = append(list.Customers, lists.Customer{Name: name, Plan: fmt.Sprint("plan-", i%200), KeyHashes: []string{plans.HashKey(name)}})
	}
	list.Customers[0].Plan = plan
	chunks, err := chunk.SplitCustomers(list, 0)
	if err != nil {
		b.Fatal(err)
	}
	raw, err := json.Marshal(objects.Head{
		Version: number, Operation: "op", ChangedAt: time.Unix(1_000_000, 0).UTC(),
		CustomerChunks: chunk.Hashes(chunks), PlanChunks: []string{},
	})
	if err != nil {
		b.Fatal(err)
	}
	head, err = core.DecodeHead(raw)
	if err != nil {
		b.Fatal(err)
	}
	return head, chunks[0].Data
}

func size(b *testing.B, v any) float64 {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}
