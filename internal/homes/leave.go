package homes

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/home"
	"lavenderdeal/core/idempotency"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

const (
	// maxHandOverBodies bounds the bodies that a leaving node hands over.
	maxHandOverBodies = 8 << 20
	// batchRecords and batchBytes bound one message.
	batchRecords = 256
	batchBytes   = 256 << 10
	leavePause   = 200 * time.Millisecond
	leaveTries   = 10
	// handOverTimeout bounds one message of a hand-over.
	handOverTimeout = 2 * time.Second
)

// Leave hands the node's records over to the next homes and takes the node out
// of the roster. From its start on the node runs no new call with a key. The
// error says that the roster still names the node: then its keys are refused
// until it was removed as one that is gone.
func (l *Loop) Leave(ctx context.Context) error {
	if l.Records == nil {
		return nil
	}
	l.Records.Seal()
	l.mu.Lock()
	l.left = true
	l.mu.Unlock()
	err := errors.New("not tried")
	for range leaveTries {
		if err = l.leaveOnce(ctx); err == nil || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, leavePause)
	}
	return err
}

// HandOverRemaining hands over the answers of the calls that were still running when the
// node left.
func (l *Loop) HandOverRemaining(ctx context.Context) {
	l.mu.Lock()
	open := l.open
	roster := l.fence.Roster()
	l.mu.Unlock()
	if len(open) == 0 || roster == nil {
		return
	}
	var ended []idempotency.Record
	for _, record := range l.Records.Export(maxHandOverBodies) {
		if record.Answer != nil && slices.Contains(open, record.ID) {
			ended = append(ended, record)
		}
	}
	l.handOver(ctx, roster, time.Now(), ended)
}

func (l *Loop) leaveOnce(ctx context.Context) error {
	found, err := l.read(ctx)
	if err != nil {
		return err
	}
	roster := l.roster()
	if roster == nil || !roster.IsVoter(l.self.Id) {
		return nil
	}
	if found.epoch != roster.Epoch() {
		return errors.New("the platform has an older roster of homes")
	}
	now := time.Now()
	next := roster.Leave(now, l.self.Id, true)
	given := l.Records.Export(maxHandOverBodies)
	if !l.handOver(ctx, next, now, given) {
		next = roster.Leave(now, l.self.Id, false)
	}
	if !l.write(ctx, next, found.revision) {
		return errors.New("the roster of homes could not be written")
	}
	l.mu.Lock()
	for _, record := range given {
		if record.Answer == nil {
			l.open = append(l.open, record.ID)
		}
	}
	l.mu.Unlock()
	// The others learn at once that there is a newer roster.
	l.askAll(ctx, 0)
	return nil
}

// handOver gives each record to the home of its key by the roster. It returns
// false when a record was not kept.
func (l *Loop) handOver(ctx context.Context, roster *home.Roster, now time.Time, given []idempotency.Record) bool {
	byHome := make(map[string][]messages.KeyRecord)
	for _, record := range given {
		decision := roster.Find(now, home.ParseKey(record.Customer, record.Key))
		if at, ok := decision.(home.Located); ok {
			byHome[at.ID] = append(byHome[at.ID], toMessage(record))
		}
	}
	kept := true
	for id, records := range byHome {
		kept = l.handOverTo(ctx, id, records) && kept
	}
	l.Metrics.Add("keyRecordsHandedOver", int64(len(given)))
	return kept
}

func (l *Loop) handOverTo(ctx context.Context, id string, records []messages.KeyRecord) bool {
	member, ok := l.View.Load().Member(id)
	if !ok {
		return false
	}
	for len(records) > 0 {
		n := batchLength(records)
		message := messages.HandOver{From: l.self.Id, Service: l.self.Service, Records: records[:n]}
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		answer, err := peer.Call[messages.HandedOver](ctx, l.Endpoint, member.Peer, handOverMethod, message)
		cancel()
		if err != nil || !answer.Kept {
			l.Metrics.Add("handOverErrors", 1)
			return false
		}
		records = records[n:]
	}
	return true
}

// takeOver keeps the records of a node that leaves.
func (l *Loop) takeOver(q messages.HandOver) messages.HandedOver {
	if q.Service != l.self.Service || l.Records == nil {
		return messages.HandedOver{}
	}
	given := make([]idempotency.Record, 0, len(q.Records))
	for _, m := range q.Records {
		given = append(given, fromMessage(m))
	}
	l.Metrics.Add("keyRecordsTakenOver", int64(len(given)))
	return messages.HandedOver{Kept: l.Records.Import(given)}
}

// batchLength returns how many of the records go into one message, at least one.
func batchLength(records []messages.KeyRecord) int {
	size := 0
	for i, r := range records {
		size += len(r.Body)
		if i > 0 && (i >= batchRecords || size > batchBytes) {
			return i
		}
	}
	return len(records)
}

func toMessage(r idempotency.Record) messages.KeyRecord {
	m := messages.KeyRecord{Customer: r.Customer, Key: r.Key, Content: r.Content}
	if r.Answer != nil {
		m.Status = r.Answer.Status
		m.Header = r.Answer.Header
		m.Body = r.Answer.Body
		// Trailers are rare and not worth a field.
		m.Dropped = r.Answer.BodyDropped || len(r.Answer.Trailer) > 0
	}
	return m
}

func fromMessage(m messages.KeyRecord) idempotency.Record {
	r := idempotency.Record{ID: idempotency.ID{Customer: m.Customer, Key: m.Key}, Content: m.Content}
	if m.Status != 0 {
		r.Answer = &idempotency.Answer{Status: m.Status, Header: m.Header, Body: m.Body, BodyDropped: m.Dropped}
	}
	return r
}
