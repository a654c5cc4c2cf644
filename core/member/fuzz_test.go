package member_test

import (
	"encoding/json"
	"testing"

	"lavenderdeal/core/member"
	"lavenderdeal/schema/messages"
)

// FuzzServe sends arbitrary decodable messages, as a peer with the valid key could.
// None may add a malformed record, lower the node's own incarnation or cause a panic.
func FuzzServe(f *testing.F) {
	seeds := []any{
		member.Probe{From: "other", Members: []messages.Member{memberAt(3), memberAt(0)}},
		member.Sync{From: "other", Zones: []messages.ZoneDigest{{Zone: zoneName(0), Digest: 1}, {Zone: "unknown", Digest: 2}}},
		member.Sync{From: "other", Known: []messages.KnownBucket{{Zone: zoneName(1), Bucket: -1, Members: []messages.KnownMember{{Id: "x"}}}}},
		member.Join{Member: memberAt(7), After: "z"},
		member.SyncAnswer{Buckets: []messages.ZoneBuckets{{Zone: "unknown", Digests: make([]uint64, 40)}}, Wants: []string{"x"}},
		member.JoinAnswer{Next: "z", RetryMillis: -1},
	}
	for _, seed := range seeds {
		data, err := json.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table := bigTable(8)
		before := table.Self().Incarnation
		serveAs[member.Probe](table, data)
		serveAs[member.Sync](table, data)
		serveAs[member.Join](table, data)
		answerAs[member.Ack](table, data)
		answerAs[member.SyncAnswer](table, data)
		answerAs[member.JoinAnswer](table, data)
		for _, m := range table.Members() {
			if m.Id == "" || m.Health > member.Failed || !m.Peer.IsValid() {
				t.Fatalf("accepted a malformed record: %+v", m)
			}
		}
		if table.Self().Incarnation < before {
			t.Fatal("the node's own incarnation decreased")
		}
	})
}

func serveAs[Q member.Request](table *member.Table, data []byte) {
	var q Q
	if json.Unmarshal(data, &q) == nil {
		table.Serve(start, q)
	}
}

// answerAs answers every request of the table with the decoded data.
func answerAs[A member.Answer](table *member.Table, data []byte) {
	var a A
	if json.Unmarshal(data, &a) != nil {
		return
	}
	for _, effect := range table.Tick(start.Add(2 * member.ProbePeriod)) {
		if send, ok := effect.(member.Send); ok {
			table.HandleAnswer(start.Add(2*member.ProbePeriod), send, a)
		}
	}
}
