package table

import (
	"fmt"

	"github.com/madderpond/madderpond/pkg/fault"
)

// enumName pairs a value with the word that people write for it.
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
	// The plain number: the value's own String would come back here.
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

// String returns the word for a kind of work.
func (w WorkKind) String() string { return enumText(workNames, w) }

// MarshalText writes a kind of work as its word.
func (w WorkKind) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText reads a kind of work; an unknown word is an Invalid fault.
func (w *WorkKind) UnmarshalText(text []byte) (err error) {
	*w, err = parseEnum(workNames, "work", text)
	return err
}

// String returns the word for a row's state.
func (s RowState) String() string { return enumText(stateNames, s) }

// MarshalText writes a row's state as its word.
func (s RowState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a row's state; an unknown word is an Invalid fault.
func (s *RowState) UnmarshalText(text []byte) (err error) {
	*s, err = parseEnum(stateNames, "state", text)
	return err
}

// String returns the word for an edit's outcome.
func (o Outcome) String() string { return enumText(outcomeNames, o) }

// MarshalText writes an outcome as its word.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads an outcome; an unknown word is an Invalid fault.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = parseEnum(outcomeNames, "outcome", text)
	return err
}

// String returns the word for an operation's kind.
func (k OperationKind) String() string { return enumText(operationNames, k) }

// MarshalText writes an operation's kind as its word.
func (k OperationKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads an operation's kind; an unknown word is an Invalid fault.
func (k *OperationKind) UnmarshalText(text []byte) (err error) {
	*k, err = parseEnum(operationNames, "operation", text)
	return err
}
