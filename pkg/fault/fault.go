// Package fault defines the errors of madderpond: each has a typed kind and a remedy. It is a
// thin layer over samber/oops: the kind is the error's code, the remedy its hint, and the
// message contains both what happened and what to do about it.
package fault

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Kind classifies an error. Programs decide by the kind; the message is for people.
type Kind string

// The kinds of error that madderpond reports.
const (
	// Invalid: the input breaks a rule; its author can correct it.
	Invalid Kind = "invalid"
	// Conflict: the edit is based on a version that isn't the current one.
	Conflict Kind = "conflict"
	// NotFound: the named object doesn't exist.
	NotFound Kind = "not-found"
	// Unavailable: the request can't be served now; it changed nothing.
	Unavailable Kind = "unavailable"
	// Unknown: the outcome is unknown; the request may have taken effect.
	Unknown Kind = "unknown-outcome"
	// Unauthorized: the token is missing or wrong.
	Unauthorized Kind = "unauthorized"
	// TooLarge: the input exceeds a documented limit.
	TooLarge Kind = "too-large"
	// Damaged: a file of the data folder is corrupt or incomplete.
	Damaged Kind = "damaged"
	// ForeignData: the data folder belongs to another replica or cluster, or is outdated.
	ForeignData Kind = "foreign-data"
	// Settings: the settings file has errors.
	Settings Kind = "settings"
	// Protocol: another process sent a message that is malformed or unexpected.
	Protocol Kind = "protocol"
	// Internal: a bug in madderpond itself.
	Internal Kind = "internal"
)

// New returns an error of a kind. Its text is the formatted message followed by the remedy.
func New(k Kind, remedy, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	return oops.Code(string(k)).Hint(remedy).Errorf("%s; %s", message, remedy)
}

// Wrap returns an error of a kind that wraps cause. Its text is the formatted message, the
// cause and the remedy. It returns nil for a nil cause.
func Wrap(cause error, k Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	message := fmt.Sprintf(format, args...)
	return oops.Code(string(k)).Hint(remedy).Errorf("%s: %w; %s", message, cause, remedy)
}

// KindOf returns the kind of an error, or Internal if it has none.
func KindOf(err error) Kind {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return Internal
	}
	if code, ok := o.Code().(string); ok && code != "" {
		return Kind(code)
	}
	return Internal
}

// RemedyOf returns the remedy of an error, or an empty string if it has none.
func RemedyOf(err error) string {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return ""
	}
	return o.Hint()
}
