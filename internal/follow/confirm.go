package follow

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/zonestatus"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	// reportTimeout bounds the time for a reader to accept a report.
	reportTimeout = 1 * time.Second
	// reportPeriod is the mean time after which a node repeats an unchanged
	// report, in case a reader lost the previous one.
	reportPeriod = 30 * time.Second
	// reportRetryPeriod is the mean time before a node repeats a report that
	// failed.
	reportRetryPeriod = 1 * time.Second
	// statusTick is the time between two checks whether the status of the zone must
	// be written.
	statusTick = 200 * time.Millisecond
	// statusDelay is how long a new reader collects reports before its first write
	// of the status.
	statusDelay = 3 * time.Second
)

// report sends the version that this node has in force to the readers of its
// zone, on each change and then once per reportPeriod.
func (l *Loop) report(ctx context.Context) {
	var sequence uint64
	var sent messages.Confirm
	var sentTo []string
	due := time.Now()
	for ctx.Err() == nil {
		current, readers := l.ownReport()
		unchanged := current.Version == sent.Version && current.Rejected == sent.Rejected && slices.Equal(readers, sentTo)
		if unchanged && time.Now().Before(due) || len(readers) == 0 {
			wait.For(ctx, tickPeriod)
			continue
		}
		sequence++
		current.Sequence = sequence
		due = time.Now().Add(jitter(reportPeriod))
		if !l.sendReport(ctx, current, readers) {
			due = time.Now().Add(jitter(reportRetryPeriod))
		}
		sent, sentTo = current, readers
	}
}

// ownReport returns the report to send, without a sequence number, and the ids of the
// readers to send it to.
func (l *Loop) ownReport() (messages.Confirm, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := messages.Confirm{Version: l.Plans.Number(), Reasons: []string{}}
	if l.view != nil {
		c.From = l.view.Self().Id
	}
	if r, ok := l.machine.Rejected(); ok {
		c.Rejected, c.Reasons = r.Number, r.Reasons
	}
	return c, l.readers
}

// sendReport sends a report to the readers. It returns false if a request failed.
func (l *Loop) sendReport(ctx context.Context, c messages.Confirm, readers []string) bool {
	ok := true
	for _, id := range readers {
		if id == c.From {
			_, _ = l.acceptReport(ctx, c)
			continue
		}
		to, found := l.address(id)
		if !found {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := peer.Call[messages.Empty](ctx, l.Endpoint, to, confirmMethod, c)
		cancel()
		if err != nil {
			l.Metrics.Add("reportErrors", 1)
			ok = false
		}
	}
	return ok
}

// writeStatus writes the status of the zone to the platform while this node is the
// first reader of the zone.
func (l *Loop) writeStatus(ctx context.Context) {
	var revision platform.Revision
	for ctx.Err() == nil {
		wait.For(ctx, statusTick)
		status, action := l.nextStatus()
		switch action {
		case zonestatus.Read:
			revision = l.readStatus(ctx, status.Zone)
		case zonestatus.Write:
			revision = l.putStatus(ctx, status, revision)
		case zonestatus.Nothing:
		}
	}
}

// nextStatus returns the current status of the zone, and whether to read the stored
// status or to write the current one now.
func (l *Loop) nextStatus() (objects.ZoneStatus, zonestatus.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil || !l.isReader || l.readers[0] != l.view.Self().Id || time.Since(l.readerSince) < statusDelay {
		return objects.ZoneStatus{}, zonestatus.Nothing
	}
	self := l.view.Self()
	status := l.reports.Status(self.Zone, l.view.Zone(self.Zone), l.machine.Newest())
	status.Writer = self.Id
	if held := l.machine.Held(); held.Version == status.Version {
		status.Operation = held.Operation
	}
	return status, l.statusWriter.Next(time.Now(), status)
}

// readStatus reads the stored status of the zone. It returns the revision for the next
// write, which is 0 if there is no status.
func (l *Loop) readStatus(ctx context.Context, zone string) platform.Revision {
	object, err := l.Platform.Get(ctx, publish.StatusPrefix+zone)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		l.Metrics.Add("platformErrors", 1)
		l.statusWriter.WriteFailed(time.Now())
		return 0
	}
	var found objects.ZoneStatus
	if err == nil {
		// A malformed status is treated as a missing one and overwritten.
		_ = json.Unmarshal(object.Value, &found)
	}
	l.statusWriter.ReadSucceeded(time.Now(), found)
	return object.Revision
}

// putStatus writes the status if the object still has the revision that was read.
// After a conflict or a lost answer the object is read again before the next write.
func (l *Loop) putStatus(ctx context.Context, status objects.ZoneStatus, after platform.Revision) platform.Revision {
	status.WrittenAt = time.Now().UTC()
	value, err := json.Marshal(status)
	if err != nil {
		return after
	}
	revision, err := l.Platform.Put(ctx, publish.StatusPrefix+status.Zone, value, after)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.Metrics.Add("statusErrors", 1)
		l.statusWriter.WriteFailed(time.Now())
		return 0
	}
	l.Metrics.Add("statusWrites", 1)
	l.statusWriter.WriteSucceeded(time.Now(), status)
	return revision
}
