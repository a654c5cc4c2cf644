// Package units defines quantities with a text form for settings and lists.
//
// # Durations
//
// A [Duration] has the text form of time.Duration, such as "3s" or "250ms", in
// YAML and in JSON:
//
//	var d units.Duration
//	err := d.UnmarshalText([]byte("250ms"))
package units

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration whose text form has a unit.
type Duration time.Duration

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration as time.ParseDuration does. A number without a
// unit is an error, except for 0.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("duration %q: want a number with a unit, such as 3s or 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func (d Duration) String() string { return time.Duration(d).String() }
