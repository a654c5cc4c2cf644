// Package publish writes versions of the plans to the platform and reads them
// back.
//
// A version is one object, the head, that names the chunks of both lists. The
// chunks are written first, so a version exists whole or not at all:
//
//	store := publish.Store{Objects: platform.New(addr)}
//	current, err := store.Current(ctx)
//	head, err := store.Apply(ctx, current, customers, plans, publish.Change{Author: "ops"})
//	var conflict *publish.ConflictError
//	if errors.As(err, &conflict) {
//		fmt.Println("won by", conflict.Winner.Author)
//	}
//
// The decisions are those of lavenderdeal/core/commit and
// lavenderdeal/core/collect; this package does what they ask for.
package publish

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/commit"
	"lavenderdeal/core/objectop"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/document"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

// Keys of the objects in the platform.
const (
	HeadKey      = objectop.HeadKey
	ChunkPrefix  = objectop.ChunkPrefix
	StatusPrefix = objectop.StatusPrefix
)

// maxMoves is how often a change begins anew because a collection rewrote the
// head.
const maxMoves = 3

var (
	headDecoder      = document.MustNew[objects.Head](objects.Schema, "Head")
	statusDecoder    = document.MustNew[objects.ZoneStatus](objects.Schema, "ZoneStatus")
	customersDecoder = document.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = document.MustNew[lists.PlanList](lists.PlansSchema, "")
)

// Objects is what this package needs of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, after platform.Revision) (platform.Revision, error)
	Delete(ctx context.Context, key string, after platform.Revision) error
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
}

// Store reads and writes versions.
type Store struct {
	Objects Objects
}

// Change says who changes the lists and why.
type Change struct {
	Author string
	Reason string
}

// Current is what the platform holds. The zero value stands for an empty
// platform.
type Current struct {
	Head     objects.Head
	Revision platform.Revision
	// Value is the head as the platform keeps it.
	Value []byte
	// HighestVersion is the highest number of a version that the platform shows: of the
	// head, of a copy of a head or of what a zone has confirmed.
	HighestVersion uint64
	// RollbackReason says why the platform seems to have been restored from a backup.
	// It is empty when nothing speaks for that.
	RollbackReason string
}

// ConflictError says that another change came first. The change that was tried
// had no effect and never will.
type ConflictError struct {
	// Winner is the head that came first, or nil when the head was removed.
	Winner *objects.Head
}

// UnknownError says that a change may have taken effect. Reading the head shows
// the operation if it did.
type UnknownError struct {
	Operation string
	cause     error
}

// SupersededError says that the change took effect and was replaced since.
type SupersededError struct {
	Head, Winner objects.Head
}

// Current reads the newest head, and which numbers were used before.
func (s Store) Current(ctx context.Context) (Current, error) {
	current, err := s.newest(ctx)
	if err != nil {
		return Current{}, err
	}
	current.HighestVersion = current.Head.Version
	copies, err := s.Objects.List(ctx, objectop.CopyPrefix)
	if err != nil {
		return Current{}, errors.Wrap(err, "list copies of heads")
	}
	for _, entry := range copies {
		if version, ok := commit.CopyVersion(entry.Key); ok {
			current.HighestVersion = max(current.HighestVersion, version)
		}
	}
	zones, err := s.Zones(ctx)
	if err != nil {
		return Current{}, err
	}
	for _, zone := range zones {
		current.HighestVersion = max(current.HighestVersion, zone.Status.Version)
		if current.RollbackReason == "" {
			current.RollbackReason = wentBack(current.Head, zone.Status)
		}
	}
	return current, nil
}

func (s Store) newest(ctx context.Context) (Current, error) {
	object, err := s.Objects.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, errors.Wrap(err, "read head")
	}
	head, err := headDecoder.Decode(object.Value)
	if err != nil {
		return Current{}, errors.Wrap(err, "head")
	}
	return Current{Head: head, Revision: object.Revision, Value: object.Value}, nil
}

// wentBack says in words how a zone's status speaks for a restored platform.
func wentBack(head objects.Head, status objects.ZoneStatus) string {
	switch {
	case status.Version > head.Version:
		return fmt.Sprintf("zone %s has version %d, the platform has %d", status.Zone, status.Version, head.Version)
	case status.Version == head.Version && status.Operation != "" && status.Operation != head.Operation:
		return fmt.Sprintf("zone %s has other content under version %d", status.Zone, head.Version)
	}
	return ""
}

// Zone is the status of one availability zone.
type Zone struct {
	Name   string
	Status objects.ZoneStatus
	// Err says that the status cannot be read; nil when it can.
	Err error
}

// Zones reads the status of each zone, in order of names. A status that cannot
// be decoded has an error of its own.
func (s Store) Zones(ctx context.Context) ([]Zone, error) {
	entries, err := s.Objects.List(ctx, StatusPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list status of zones")
	}
	zones := make([]Zone, 0, len(entries))
	for _, entry := range entries {
		object, err := s.Objects.Get(ctx, entry.Key)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read status of a zone")
		}
		zone := Zone{Name: entry.Key[len(StatusPrefix):]}
		zone.Status, zone.Err = statusDecoder.Decode(object.Value)
		zones = append(zones, zone)
	}
	return zones, nil
}

// Apply writes a new version that follows the given one. Its errors are a
// *ConflictError, a *UnknownError, a *SupersededError, or another that says that
// nothing was changed.
func (s Store) Apply(ctx context.Context, after Current, customers lists.CustomerList, planList lists.PlanList, change Change) (objects.Head, error) {
	if _, faults := plans.Build(1, customers, planList); len(faults) > 0 {
		return objects.Head{}, errors.Newf("%d faults, first %s", len(faults), faults[0])
	}
	prepared, err := prepare(after.Head, customers, planList, change)
	if err != nil {
		return objects.Head{}, err
	}
	for range maxMoves {
		m, err := commit.New(baseOf(after), prepared)
		if err != nil {
			return objects.Head{}, err
		}
		if err := checkHead(m.Head()); err != nil {
			return objects.Head{}, err
		}
		s.run(ctx, m)
		if _, moved := m.Result().(commit.RevisionChanged); !moved {
			return outcome(m.Result())
		}
		operation := after.Head.Operation
		if after, err = s.Current(ctx); err != nil {
			return objects.Head{}, errors.Wrap(err, "the change was not made")
		}
		if after.Head.Operation != operation {
			return objects.Head{}, &ConflictError{Winner: &after.Head}
		}
	}
	return objects.Head{}, errors.New("the change was not made: the head keeps being rewritten by collections")
}

func baseOf(c Current) commit.Base {
	return commit.Base{Head: c.Head, Value: c.Value, Revision: uint64(c.Revision), HighestVersion: c.HighestVersion}
}

func prepare(previous objects.Head, customers lists.CustomerList, planList lists.PlanList, change Change) (commit.Change, error) {
	customerChunks, err := chunk.SplitCustomers(customers, len(previous.CustomerChunks))
	if err != nil {
		return commit.Change{}, err
	}
	planChunks, err := chunk.SplitPlans(planList, len(previous.PlanChunks))
	if err != nil {
		return commit.Change{}, err
	}
	if err := checkNew(customerChunks, previous.CustomerChunks, customersDecoder); err != nil {
		return commit.Change{}, err
	}
	if err := checkNew(planChunks, previous.PlanChunks, plansDecoder); err != nil {
		return commit.Change{}, err
	}
	return commit.Change{
		Operation: newOperation(),
		Author:    change.Author,
		Reason:    change.Reason,
		At:        time.Now().UTC(),
		Customers: customerChunks,
		Plans:     planChunks,
	}, nil
}

// checkNew checks the chunks that the head before does not name as a node would.
// What is written and then refused by every node would keep all later versions
// from being made on top of it.
func checkNew[T any](chunks []chunk.Chunk, previous []string, decoder *document.Decoder[T]) error {
	known := make(map[string]bool, len(previous))
	for _, hash := range previous {
		known[hash] = true
	}
	for _, c := range chunks {
		if known[c.Hash] {
			continue
		}
		if len(c.Data) > platform.MaxValue {
			return errors.Newf("a part of the lists has %d bytes, at most %d fit in the platform", len(c.Data), platform.MaxValue)
		}
		if _, err := decoder.Decode(c.Data); err != nil {
			return errors.Wrap(err, "the lists are not valid")
		}
	}
	return nil
}

func checkHead(head objects.Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	_, err = DecodeHead(value)
	return errors.Wrap(err, "the change is not valid")
}

func outcome(result commit.Result) (objects.Head, error) {
	switch r := result.(type) {
	case commit.Succeeded:
		return r.Head, nil
	case commit.Superseded:
		return r.Head, &SupersededError{Head: r.Head, Winner: r.Winner}
	case commit.Conflicted:
		return objects.Head{}, &ConflictError{Winner: r.Winner}
	case commit.Unknown:
		return objects.Head{}, &UnknownError{Operation: r.Operation, cause: r.Err}
	case commit.Abandoned:
		return objects.Head{}, errors.Wrap(r.Err, "the change was not made")
	}
	return objects.Head{}, errors.Newf("result %T", result)
}

// DecodeHead checks a head as the platform keeps it.
func DecodeHead(value []byte) (objects.Head, error) { return headDecoder.Decode(value) }

// DecodeZoneStatus checks the status of a zone as the platform keeps it.
func DecodeZoneStatus(value []byte) (objects.ZoneStatus, error) { return statusDecoder.Decode(value) }

// DecodeCustomers checks one list of customers or a chunk of one.
func DecodeCustomers(data []byte) (lists.CustomerList, error) { return customersDecoder.Decode(data) }

// DecodePlans checks one list of plans or a chunk of one.
func DecodePlans(data []byte) (lists.PlanList, error) { return plansDecoder.Decode(data) }

func newOperation() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return base64.RawURLEncoding.EncodeToString(id[:])
}

func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return "the head was removed meanwhile; nothing was changed"
	}
	w := e.Winner
	return fmt.Sprintf("version %d by %s came first (%s, operation %s, reason %q); nothing was changed",
		w.Version, w.Author, w.ChangedAt.Format(time.RFC3339), w.Operation, w.Reason)
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the change may have been made or may be yet (operation %s): %v", e.Operation, e.cause)
}

// Unwrap returns what went wrong.
func (e *UnknownError) Unwrap() error { return e.cause }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("version %d was made and has been replaced by version %d of %s", e.Head.Version, e.Winner.Version, e.Winner.Author)
}
