// Package publish writes versions of the plans to the platform and reads them
// back.
//
// A version is one object, the head, that names the chunks of both lists. The
// chunks are written first, so a version exists whole or not at all:
//
//	store := publish.Store{Objects: platform.New(addr)}
//	current, err := store.Current(ctx)
//	head, err := store.Apply(ctx, current, customers, plans, publish.Change{Author: "ops"})
package publish

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/chunk"
	"lavenderdeal/internal/border"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

// Keys of the objects in the platform.
const (
	HeadKey     = "head"
	ChunkPrefix = "chunks/"
)

var (
	headDecoder      = border.MustNew[objects.Head](objects.Schema, "Head")
	customersDecoder = border.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = border.MustNew[lists.PlanList](lists.PlansSchema, "")
)

// Objects is what this package needs of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, after platform.Revision) (platform.Revision, error)
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

// Current is the newest head with its revision. The zero value stands for no
// version.
type Current struct {
	Head     objects.Head
	Revision platform.Revision
}

// Current reads the newest head.
func (s Store) Current(ctx context.Context) (Current, error) {
	object, err := s.Objects.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	head, err := headDecoder.Decode(object.Value)
	if err != nil {
		return Current{}, errors.Wrap(err, "head")
	}
	return Current{Head: head, Revision: object.Revision}, nil
}

// Apply writes a new version that follows the given one.
func (s Store) Apply(ctx context.Context, after Current, customers lists.CustomerList, plans lists.PlanList, change Change) (objects.Head, error) {
	customerChunks, err := chunk.SplitCustomers(customers, len(after.Head.CustomerChunks))
	if err != nil {
		return objects.Head{}, err
	}
	planChunks, err := chunk.SplitPlans(plans, len(after.Head.PlanChunks))
	if err != nil {
		return objects.Head{}, err
	}
	if err := s.putChunks(ctx, append(customerChunks, planChunks...)); err != nil {
		return objects.Head{}, err
	}
	head := objects.Head{
		Version:        after.Head.Version + 1,
		Operation:      newOperation(),
		CustomerChunks: chunk.Hashes(customerChunks),
		PlanChunks:     chunk.Hashes(planChunks),
		Author:         change.Author,
		Reason:         change.Reason,
		ChangedAt:      time.Now().UTC(),
	}
	value, err := json.Marshal(head)
	if err != nil {
		return objects.Head{}, err
	}
	if _, err := s.Objects.Put(ctx, HeadKey, value, after.Revision); err != nil {
		return objects.Head{}, errors.Wrap(err, "write head")
	}
	return head, nil
}

func (s Store) putChunks(ctx context.Context, chunks []chunk.Chunk) error {
	for _, c := range chunks {
		_, err := s.Objects.Put(ctx, ChunkPrefix+c.Hash, c.Data, 0)
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return errors.Wrapf(err, "write chunk %s", c.Hash)
		}
	}
	return nil
}

// DecodeHead checks a head as the platform keeps it.
func DecodeHead(value []byte) (objects.Head, error) { return headDecoder.Decode(value) }

// DecodeCustomers checks one list of customers or a chunk of one.
func DecodeCustomers(data []byte) (lists.CustomerList, error) { return customersDecoder.Decode(data) }

// DecodePlans checks one list of plans or a chunk of one.
func DecodePlans(data []byte) (lists.PlanList, error) { return plansDecoder.Decode(data) }

func newOperation() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return base64.RawURLEncoding.EncodeToString(id[:])
}
