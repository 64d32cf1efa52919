package table

import (
	"fmt"

	"github.com/madderpond/madderpond/pkg/fault"
)

// enumName is the text of an enum value in JSON and in messages.
type enumName[T ~int32] struct {
	value T
	text  string
}

var workNames = []enumName[WorkKind]{
	{Repeatable, "repeatable"},
	{AtMostOnce, "once"},
	{Patient, "patient"},
}

var stateNames = []enumName[RowState]{
	{Active, "active"},
	{Leaving, "leaving"},
}

var outcomeNames = []enumName[Outcome]{
	{Accepted, "accepted"},
	{Conflicted, "conflict"},
	{Rejected, "invalid"},
}

var operationNames = []enumName[OperationKind]{
	{PutService, "put-service"},
	{DeleteService, "delete-service"},
	{PutRow, "put-row"},
	{DeleteRow, "delete-row"},
}

func enumText[T ~int32](names []enumName[T], v T) string {
	for _, n := range names {
		if n.value == v {
			return n.text
		}
	}
	// Formatting v itself would call String and recurse.
	return fmt.Sprintf("unknown(%d)", int32(v))
}

func parseEnum[T ~int32](names []enumName[T], what string, text []byte) (T, error) {
	var known []string
	for _, n := range names {
		if n.text == string(text) {
			return n.value, nil
		}
		known = append(known, n.text)
	}
	var none T
	return none, fault.New(fault.Invalid, fmt.Sprintf("write one of %q", known), "%s %q isn't known", what, text)
}

// String returns the name of a kind of work.
func (w WorkKind) String() string { return enumText(workNames, w) }

// MarshalText encodes a kind of work as its name.
func (w WorkKind) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText parses the name of a kind of work; an unknown name is an Invalid fault.
func (w *WorkKind) UnmarshalText(text []byte) (err error) {
	*w, err = parseEnum(workNames, "work", text)
	return err
}

// String returns the name of a row's state.
func (s RowState) String() string { return enumText(stateNames, s) }

// MarshalText encodes a row's state as its name.
func (s RowState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a row's state; an unknown name is an Invalid fault.
func (s *RowState) UnmarshalText(text []byte) (err error) {
	*s, err = parseEnum(stateNames, "state", text)
	return err
}

// String returns the name of an edit's outcome.
func (o Outcome) String() string { return enumText(outcomeNames, o) }

// MarshalText encodes an outcome as its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome; an unknown name is an Invalid fault.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = parseEnum(outcomeNames, "outcome", text)
	return err
}

// String returns the name of an operation's kind.
func (k OperationKind) String() string { return enumText(operationNames, k) }

// MarshalText encodes an operation's kind as its name.
func (k OperationKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of an operation's kind; an unknown name is an Invalid fault.
func (k *OperationKind) UnmarshalText(text []byte) (err error) {
	*k, err = parseEnum(operationNames, "operation", text)
	return err
}
