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
	// maxHandOverBodies is the maximum total size of the answer bodies that a
	// leaving node hands over, in bytes.
	maxHandOverBodies = 8 << 20
	// batchRecords and batchBytes limit the records and body bytes of one message.
	batchRecords = 256
	batchBytes   = 256 << 10
	// leaveRetryDelay is the delay between two attempts to leave the roster, and
	// maxLeaveAttempts bounds their number.
	leaveRetryDelay  = 200 * time.Millisecond
	maxLeaveAttempts = 10
	// handOverTimeout bounds the wait for the answer to each message of a hand-over.
	handOverTimeout = 2 * time.Second
)

// Leave hands the node's records over to the next homes and removes the node from
// the roster. Once Leave is called the node runs no new calls with a key. If Leave
// returns an error, the roster may still contain the node; calls with its keys are
// then refused until the other nodes remove it as failed.
func (l *Loop) Leave(ctx context.Context) error {
	if l.Records == nil {
		return nil
	}
	l.Records.Seal()
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	err := errors.New("no attempt to leave the roster of homes was made")
	for range maxLeaveAttempts {
		if err = l.leaveOnce(ctx); err == nil || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, leaveRetryDelay)
	}
	return err
}

// HandOverRemaining hands over the answers of the calls with a key that were still
// running when the node left the roster. Failures are not returned.
func (l *Loop) HandOverRemaining(ctx context.Context) {
	l.mu.Lock()
	openCalls := l.openCalls
	roster := l.fence.Roster()
	l.mu.Unlock()
	if len(openCalls) == 0 || roster == nil {
		return
	}
	var ended []idempotency.Record
	for _, record := range l.Records.Export(maxHandOverBodies) {
		if record.Answer != nil && slices.Contains(openCalls, record.ID) {
			ended = append(ended, record)
		}
	}
	l.sendRecords(ctx, roster, time.Now(), ended)
}

// leaveOnce makes one attempt to leave the roster.
func (l *Loop) leaveOnce(ctx context.Context) error {
	found, err := l.readPlatform(ctx)
	if err != nil {
		return err
	}
	roster := l.roster()
	if roster == nil || !roster.IsVoter(l.self.Id) {
		return nil
	}
	if found.epoch != roster.Epoch() {
		return errors.New("the platform has no roster of homes or an older one than this node")
	}
	now := time.Now()
	next := roster.Leave(now, l.self.Id, true)
	exported := l.Records.Export(maxHandOverBodies)
	if !l.sendRecords(ctx, next, now, exported) {
		next = roster.Leave(now, l.self.Id, false)
	}
	if !l.write(ctx, next, found.revision) {
		return errors.New("the roster of homes could not be written to the platform")
	}
	l.mu.Lock()
	for _, record := range exported {
		if record.Answer == nil {
			l.openCalls = append(l.openCalls, record.ID)
		}
	}
	l.mu.Unlock()
	// Informs the other nodes immediately that there is a newer roster.
	l.queryAll(ctx, 0)
	return nil
}

// sendRecords sends each record to the home of its key according to the roster. It
// returns false if a home did not accept all of its records. Records of keys that
// the roster refuses are left out.
func (l *Loop) sendRecords(ctx context.Context, roster *home.Roster, now time.Time, exported []idempotency.Record) bool {
	byHome := make(map[string][]messages.KeyRecord)
	for _, record := range exported {
		decision := roster.Find(now, home.ParseKey(record.Customer, record.Key))
		if located, ok := decision.(home.Located); ok {
			byHome[located.ID] = append(byHome[located.ID], toMessage(record))
		}
	}
	accepted := true
	for id, records := range byHome {
		accepted = l.sendRecordsTo(ctx, id, records) && accepted
	}
	l.Metrics.Add("keyRecordsHandedOver", int64(len(exported)))
	return accepted
}

func (l *Loop) sendRecordsTo(ctx context.Context, id string, records []messages.KeyRecord) bool {
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

// importRecords stores the records that a leaving node hands over.
func (l *Loop) importRecords(q messages.HandOver) messages.HandedOver {
	if q.Service != l.self.Service || l.Records == nil {
		return messages.HandedOver{}
	}
	imported := make([]idempotency.Record, 0, len(q.Records))
	for _, m := range q.Records {
		imported = append(imported, fromMessage(m))
	}
	l.Metrics.Add("keyRecordsTakenOver", int64(len(imported)))
	return messages.HandedOver{Kept: l.Records.Import(imported)}
}

// batchLength returns how many of the records to send in one message, at least one.
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
		// KeyRecord has no field for trailers, since they are rare: the body is
		// reported as dropped.
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
