// Package accounts identifies client accounts by their API keys.
//
// A [Table] holds the accounts of one version of the configuration. It is validated as a
// whole when it is built and is immutable. Keys are kept only as digests, so the time of a
// lookup tells nothing about the characters of a key, and keys appear in no error:
//
//	table, err := accounts.New([]accounts.Account{{Name: "depot", Keys: []string{"k1"}}})
//	account, ok := table.ByKey("k1")
package accounts

import (
	"crypto/sha256"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
)

// Account is a client account.
type Account struct {
	Name string
	// Keys identify the account. The table keeps digests of them only.
	Keys []string
	// Rank replaces the rank of a request's route if HasRank is set; 0 is the highest.
	Rank    int
	HasRank bool
	// Rate is the number of requests per second that all nodes together accept from the
	// account, and Burst the number in addition after a pause. A rate of 0 means no limit.
	Rate, Burst float64
}

// Table holds the accounts of one version of the configuration. It is safe for concurrent
// use.
type Table struct {
	byKey  map[[sha256.Size]byte]*Account
	byName map[string]*Account
}

// New validates the accounts and returns their table. The error names the first invalid
// account.
func New(list []Account) (*Table, error) {
	t := &Table{
		byKey:  make(map[[sha256.Size]byte]*Account, len(list)),
		byName: make(map[string]*Account, len(list)),
	}
	for i := range list {
		a := list[i]
		if err := t.add(&a); err != nil {
			return nil, errors.Wrapf(err, "account %q", a.Name)
		}
	}
	return t, nil
}

func (t *Table) add(a *Account) error {
	switch {
	case a.Name == "":
		return errors.New("no name")
	case a.Name != strings.TrimSpace(a.Name) || strings.ContainsFunc(a.Name, unicode.IsControl):
		// The name is sent to backend servers in a header field.
		return errors.New("name with control characters or space at an end")
	case t.byName[a.Name] != nil:
		return errors.New("name of two accounts")
	case a.Rank < 0:
		return errors.Newf("rank %d is negative", a.Rank)
	case !(a.Rate >= 0) || !(a.Burst >= 0):
		return errors.Newf("rate %g or burst %g is negative", a.Rate, a.Burst)
	}
	for i, key := range a.Keys {
		if key == "" {
			return errors.Newf("key %d is empty", i)
		}
		digest := sha256.Sum256([]byte(key))
		if other := t.byKey[digest]; other != nil && other != a {
			return errors.Newf("key %d is also a key of account %q", i, other.Name)
		}
		t.byKey[digest] = a
	}
	a.Keys = nil
	t.byName[a.Name] = a
	return nil
}

// ByKey returns the account of a key, which must not be modified, or false if no account
// has the key.
func (t *Table) ByKey(key string) (*Account, bool) {
	a, ok := t.byKey[sha256.Sum256([]byte(key))]
	return a, ok
}

// ByName returns the account with a name, which must not be modified, or false if there is
// none.
func (t *Table) ByName(name string) (*Account, bool) {
	a, ok := t.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.byName) }
