// Package publish writes versions of the plans to the platform's object store and
// reads them back.
//
// A version consists of the list of customers and the list of plans. Both are stored
// in chunks, and an object named the head contains the hashes of the chunks of the
// newest version. The chunks are written before the head, so that a version exists
// completely or not at all:
//
//	store := publish.Store{Objects: platform.New(addr)}
//	current, err := store.Current(ctx)
//	head, err := store.Apply(ctx, current, customers, plans, publish.Change{Author: "ops"})
//	var conflict *publish.ConflictError
//	if errors.As(err, &conflict) {
//		fmt.Println("conflict with a change by", conflict.Winner.Author)
//	}
//
// The protocols are implemented by the state machines of lavenderdeal/core/commit
// and lavenderdeal/core/gc; this package performs their actions.
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

// Keys and key prefixes of the objects in the platform.
const (
	HeadKey      = objectop.HeadKey
	ChunkPrefix  = objectop.ChunkPrefix
	StatusPrefix = objectop.StatusPrefix
)

// maxAttempts is the number of attempts at a change while collections rewrite the
// head.
const maxAttempts = 3

var (
	headDecoder      = document.MustNew[objects.Head](objects.Schema, "Head")
	statusDecoder    = document.MustNew[objects.ZoneStatus](objects.Schema, "ZoneStatus")
	customersDecoder = document.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = document.MustNew[lists.PlanList](lists.PlansSchema, "")
)

// Objects is the part of [platform.Client] that this package uses.
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

// Change is the author and the reason of a change of the lists.
type Change struct {
	Author string
	Reason string
}

// Current is the state of the platform on which a change is based. The zero value
// is an empty platform.
type Current struct {
	Head objects.Head
	// Revision is the revision of the head, or 0 if there is none.
	Revision platform.Revision
	// Value is the encoded head as stored in the platform.
	Value []byte
	// HighestVersion is the highest version number found in the platform: in the
	// head, in a copy of a head or in the status of a zone.
	HighestVersion uint64
	// RollbackReason is the reason why the platform seems to have been restored
	// from a backup, or empty if it doesn't.
	RollbackReason string
}

// ConflictError is returned when another change was written first. The attempted
// change had no effect and never will.
type ConflictError struct {
	// Winner is the head that was written first, or nil when the head was removed.
	Winner *objects.Head
}

// UnknownError is returned when a change may have taken effect or may still do so.
type UnknownError struct {
	// Operation is the id of the change. The head has it if the change takes effect.
	Operation string
	cause     error
}

// SupersededError is returned when the change took effect and has been replaced
// since.
type SupersededError struct {
	// Head is the head that the change wrote, and Winner the one that replaced it.
	Head, Winner objects.Head
}

// Current reads the newest head and the highest version number in use.
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
			current.RollbackReason = rollbackReason(current.Head, zone.Status)
		}
	}
	return current, nil
}

// newest reads the newest head. It leaves HighestVersion and RollbackReason unset.
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

// rollbackReason returns the reason why a zone's status suggests that the platform
// was restored from a backup, or an empty string.
func rollbackReason(head objects.Head, status objects.ZoneStatus) string {
	switch {
	case status.Version > head.Version:
		return fmt.Sprintf("zone %s has version %d, the platform has %d", status.Zone, status.Version, head.Version)
	case status.Version == head.Version && status.Operation != "" && status.Operation != head.Operation:
		return fmt.Sprintf("zone %s has other content under version %d", status.Zone, head.Version)
	}
	return ""
}

// Zone is the status of one availability zone: how many of its nodes have confirmed
// which version.
type Zone struct {
	Name   string
	Status objects.ZoneStatus
	// Err is the error of decoding the status, or nil.
	Err error
}

// Zones reads the status of each zone, sorted by name. A status that cannot be
// decoded is returned with its Err set.
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

// Apply writes a new version on top of the given one and returns its head. The error
// is a *ConflictError, an *UnknownError or a *SupersededError; with the last one, the
// head is returned too. With any other error nothing was changed.
func (s Store) Apply(ctx context.Context, after Current, customers lists.CustomerList, planList lists.PlanList, change Change) (objects.Head, error) {
	if _, faults := plans.Build(1, customers, planList); len(faults) > 0 {
		return objects.Head{}, errors.Newf("the lists have %d faults, the first is: %s", len(faults), faults[0])
	}
	prepared, err := prepare(after.Head, customers, planList, change)
	if err != nil {
		return objects.Head{}, err
	}
	for range maxAttempts {
		m, err := commit.New(baseOf(after), prepared)
		if err != nil {
			return objects.Head{}, err
		}
		if err := checkHead(m.Head()); err != nil {
			return objects.Head{}, err
		}
		s.run(ctx, m)
		if _, isRewritten := m.Result().(commit.RevisionChanged); !isRewritten {
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

// prepare splits the lists into chunks and validates the new chunks.
func prepare(previous objects.Head, customers lists.CustomerList, planList lists.PlanList, change Change) (commit.Change, error) {
	customerChunks, err := chunk.SplitCustomers(customers, len(previous.CustomerChunks))
	if err != nil {
		return commit.Change{}, err
	}
	planChunks, err := chunk.SplitPlans(planList, len(previous.PlanChunks))
	if err != nil {
		return commit.Change{}, err
	}
	if err := checkNewChunks(customerChunks, previous.CustomerChunks, customersDecoder); err != nil {
		return commit.Change{}, err
	}
	if err := checkNewChunks(planChunks, previous.PlanChunks, plansDecoder); err != nil {
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

// checkNewChunks validates the chunks that the previous head doesn't have, as a node
// does. A version with a chunk that every node rejects would also prevent all later
// versions, since they are based on it.
func checkNewChunks[T any](chunks []chunk.Chunk, previous []string, decoder *document.Decoder[T]) error {
	known := make(map[string]bool, len(previous))
	for _, hash := range previous {
		known[hash] = true
	}
	for _, c := range chunks {
		if known[c.Hash] {
			continue
		}
		if len(c.Data) > platform.MaxValue {
			return errors.Newf("a chunk of the lists has %d bytes, the platform stores at most %d", len(c.Data), platform.MaxValue)
		}
		if _, err := decoder.Decode(c.Data); err != nil {
			return errors.Wrap(err, "the lists are not valid")
		}
	}
	return nil
}

// checkHead validates a head as a node does.
func checkHead(head objects.Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	_, err = DecodeHead(value)
	return errors.Wrap(err, "the change is not valid")
}

// outcome converts the result of a commit to the results of Apply.
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
	return objects.Head{}, errors.Newf("unexpected result %T of the commit", result)
}

// DecodeHead decodes and validates a head as stored in the platform.
func DecodeHead(value []byte) (objects.Head, error) { return headDecoder.Decode(value) }

// DecodeZoneStatus decodes and validates the status of a zone as stored in the
// platform.
func DecodeZoneStatus(value []byte) (objects.ZoneStatus, error) { return statusDecoder.Decode(value) }

// DecodeCustomers decodes and validates a list of customers or a chunk of one.
func DecodeCustomers(data []byte) (lists.CustomerList, error) { return customersDecoder.Decode(data) }

// DecodePlans decodes and validates a list of plans or a chunk of one.
func DecodePlans(data []byte) (lists.PlanList, error) { return plansDecoder.Decode(data) }

// newOperation returns a random id for a change.
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
	return fmt.Sprintf("the change may have been made or may still be made (operation %s): %v", e.Operation, e.cause)
}

// Unwrap returns the error of the write whose outcome is unknown.
func (e *UnknownError) Unwrap() error { return e.cause }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("version %d was made and has been replaced by version %d of %s", e.Head.Version, e.Winner.Version, e.Winner.Author)
}
