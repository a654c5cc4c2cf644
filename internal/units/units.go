// Package units reads and writes quantities the way operators write them.
//
// # Durations
//
// A [Duration] is written as Go writes it, such as "3s" or "250ms", in YAML and
// in JSON alike:
//
//	var d units.Duration
//	err := d.UnmarshalText([]byte("250ms"))
package units

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration whose text form carries its unit.
type Duration time.Duration

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText accepts what time.ParseDuration accepts. A number without a
// unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("duration %q: want a number with a unit, such as 3s or 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func (d Duration) String() string { return time.Duration(d).String() }
