// Package follow keeps the newest version of the plans in force on a node.
//
// A [Loop] runs until its context ends. It learns of new versions from the
// platform and from peers, fetches what it lacks, checks the whole version and
// puts it in force.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/publish"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

const (
	watchWait  = 30 * time.Second
	retryPause = 500 * time.Millisecond
)

// Loop follows the versions for one node.
type Loop struct {
	Plans    *inforce.Plans
	View     *atomic.Pointer[fleet.View]
	Platform *platform.Client
	Endpoint *peer.Endpoint
	Ring     *explain.Ring
	Metrics  *metrics.Set
	Log      log.Interface
}

// Handle registers the messages that the loop answers.
func (l *Loop) Handle(*peer.Mux) {}

// Run follows the versions until ctx is done.
func (l *Loop) Run(ctx context.Context) error { return l.followPlatform(ctx) }

func (l *Loop) followPlatform(ctx context.Context) error {
	var revision platform.Revision
	for ctx.Err() == nil {
		object, changed, err := l.Platform.Watch(ctx, publish.HeadKey, revision, watchWait)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			sleep(ctx, retryPause)
		case err != nil:
			l.Metrics.Add("platformErrors", 1)
			sleep(ctx, retryPause)
		case changed:
			revision = object.Revision
			if err := l.apply(ctx, object.Value); err != nil {
				l.record("versionRejected", "head", err.Error())
				revision = 0
				sleep(ctx, retryPause)
			}
		}
	}
	return nil
}

func (l *Loop) apply(ctx context.Context, value []byte) error {
	head, err := publish.DecodeHead(value)
	if err != nil {
		return err
	}
	if head.Version <= l.Plans.Number() {
		return nil
	}
	version, err := l.build(ctx, head)
	if err != nil {
		return err
	}
	if l.Plans.Set(version) {
		l.Metrics.Add("versionsApplied", 1)
		l.record("versionApplied", head.Operation, head.Reason)
	}
	return nil
}

func (l *Loop) build(ctx context.Context, head objects.Head) (*plans.Version, error) {
	var customers lists.CustomerList
	var planList lists.PlanList
	for _, hash := range head.CustomerChunks {
		object, err := l.Platform.Get(ctx, publish.ChunkPrefix+hash)
		if err != nil {
			return nil, err
		}
		part, err := publish.DecodeCustomers(object.Value)
		if err != nil {
			return nil, err
		}
		customers.Customers = append(customers.Customers, part.Customers...)
	}
	for _, hash := range head.PlanChunks {
		object, err := l.Platform.Get(ctx, publish.ChunkPrefix+hash)
		if err != nil {
			return nil, err
		}
		part, err := publish.DecodePlans(object.Value)
		if err != nil {
			return nil, err
		}
		planList.Plans = append(planList.Plans, part.Plans...)
		planList.Services = append(planList.Services, part.Services...)
	}
	version, faults := plans.Build(head.Version, customers, planList)
	if len(faults) > 0 {
		return nil, errors.Newf("%d faults, first %s", len(faults), faults[0])
	}
	return version, nil
}

func (l *Loop) record(kind, subject, detail string) {
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: subject, Detail: detail})
	l.Log.WithField("subject", subject).WithField("detail", detail).Info(kind)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
