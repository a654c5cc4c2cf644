package publish

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/commit"
	"lavenderdeal/core/gc"
	"lavenderdeal/core/objectop"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

// maxReads is the maximum number of concurrent reads of chunks.
const maxReads = 8

// ErrVersionNotFound is returned when the platform doesn't have the version, or has
// it no longer.
var ErrVersionNotFound = errors.New("the platform has no such version")

// CollectSlack is the number of copies of heads, beyond those that a collection keeps
// by default, at which [Store.CollectWhenDue] runs a collection.
const CollectSlack = 50

// History returns at most n heads, the newest first: the current head and the copies
// of earlier ones. n must be at least 1.
func (s Store) History(ctx context.Context, n int) ([]objects.Head, error) {
	current, err := s.newest(ctx)
	if err != nil || current.Revision == 0 {
		return nil, err
	}
	entries, err := s.Objects.List(ctx, objectop.CopyPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list copies of heads")
	}
	slices.Reverse(entries)
	heads := []objects.Head{current.Head}
	for _, entry := range entries {
		if len(heads) >= n {
			break
		}
		if entry.Key == commit.CopyKey(current.Head) {
			continue
		}
		head, err := s.readCopy(ctx, entry.Key)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

// Find returns the head of a version: the newest head, or the copy of an earlier
// one. When a platform that was restored from a backup has two heads under the same
// number, it returns the newest head or else the last copy. The error is
// [ErrVersionNotFound] when there is none.
func (s Store) Find(ctx context.Context, version uint64) (objects.Head, error) {
	current, err := s.newest(ctx)
	if err != nil {
		return objects.Head{}, err
	}
	if current.Revision != 0 && current.Head.Version == version {
		return current.Head, nil
	}
	entries, err := s.Objects.List(ctx, objectop.CopyPrefix)
	if err != nil {
		return objects.Head{}, errors.Wrap(err, "list copies of heads")
	}
	slices.Reverse(entries)
	for _, entry := range entries {
		if v, ok := commit.CopyVersion(entry.Key); ok && v == version {
			return s.readCopy(ctx, entry.Key)
		}
	}
	return objects.Head{}, errors.Wrapf(ErrVersionNotFound, "version %d", version)
}

// readCopy reads and decodes the copy of a head.
func (s Store) readCopy(ctx context.Context, key string) (objects.Head, error) {
	object, err := s.Objects.Get(ctx, key)
	if err != nil {
		return objects.Head{}, errors.Wrap(err, key)
	}
	head, err := headDecoder.Decode(object.Value)
	return head, errors.Wrap(err, key)
}

// Load reads the list of customers and the list of plans of a version and verifies the
// hash of each chunk.
func (s Store) Load(ctx context.Context, head objects.Head) (lists.CustomerList, lists.PlanList, error) {
	var customers lists.CustomerList
	var planList lists.PlanList
	customerChunks, err := s.chunks(ctx, head.CustomerChunks)
	if err != nil {
		return customers, planList, err
	}
	planChunks, err := s.chunks(ctx, head.PlanChunks)
	if err != nil {
		return customers, planList, err
	}
	for _, data := range customerChunks {
		part, err := DecodeCustomers(data)
		if err != nil {
			return customers, planList, err
		}
		customers.Customers = append(customers.Customers, part.Customers...)
	}
	for _, data := range planChunks {
		part, err := DecodePlans(data)
		if err != nil {
			return customers, planList, err
		}
		planList.Plans = append(planList.Plans, part.Plans...)
		planList.Services = append(planList.Services, part.Services...)
	}
	return customers, planList, nil
}

// chunks reads the chunks with the given hashes, in their order.
func (s Store) chunks(ctx context.Context, hashes []string) ([][]byte, error) {
	data := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for i, hash := range hashes {
		group.Go(func() error {
			object, err := s.Objects.Get(ctx, ChunkPrefix+hash)
			if err != nil {
				return errors.Wrapf(err, "chunk %s", hash)
			}
			if chunk.New(object.Value).Hash != hash {
				return errors.Newf("chunk %s: the content does not match the hash", hash)
			}
			data[i] = object.Value
			return nil
		})
	}
	return data, group.Wait()
}

// Restore writes a new version with the content of an earlier one. Its errors are
// those of Apply, Find and Load.
func (s Store) Restore(ctx context.Context, after Current, version uint64, change Change) (objects.Head, error) {
	old, err := s.Find(ctx, version)
	if err != nil {
		return objects.Head{}, err
	}
	customers, planList, err := s.Load(ctx, old)
	if err != nil {
		return objects.Head{}, errors.Wrapf(err, "read the lists of version %d", version)
	}
	return s.Apply(ctx, after, customers, planList, change)
}

// Collect removes old copies of heads and the chunks that no kept head refers to; see
// lavenderdeal/core/gc. If ctx is done before the collection has finished, the
// report's Err is the error of ctx.
func (s Store) Collect(ctx context.Context, opts ...gc.Option) gc.Report {
	m := gc.New(opts...)
	s.run(ctx, m)
	report := m.Report()
	if !m.Finished() {
		report.Err = ctx.Err()
	}
	return report
}

// CollectWhenDue is like Collect but does nothing while there are fewer than
// CollectSlack copies beyond those that a collection keeps by default.
func (s Store) CollectWhenDue(ctx context.Context) gc.Report {
	entries, err := s.Objects.List(ctx, objectop.CopyPrefix)
	if err != nil {
		return gc.Report{Err: err}
	}
	if len(entries) < gc.DefaultKeep+CollectSlack {
		return gc.Report{}
	}
	return s.Collect(ctx)
}
