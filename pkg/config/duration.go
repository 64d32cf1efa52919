package config

import (
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Duration is a duration that the settings file holds as a string such as "250ms" or "2s".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration in Go's notation. The error is a Settings fault.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.New(fault.Settings, `write it as in "250ms" or "2s"`, "%q is no duration", text)
	}
	*d = Duration(v)
	return nil
}
