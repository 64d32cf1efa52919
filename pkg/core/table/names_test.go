package table

import "testing"

// A value that no word stands for may come from another process; telling it must not
// end this one.
func TestUnknownValuesCanBeTold(t *testing.T) {
	for _, word := range []string{WorkKind(0).String(), RowState(99).String(), Outcome(-1).String(), OperationKind(7).String()} {
		if len(word) < len("unknown(") || word[:8] != "unknown(" {
			t.Errorf("an unknown value is told as %q", word)
		}
	}
}
