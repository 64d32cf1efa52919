package table

import "testing"

// Unknown values may come from another process. Formatting one must not fail; a String
// method that formats its own value would recurse until the stack overflows.
func TestUnknownValuesCanBeTold(t *testing.T) {
	for _, word := range []string{WorkKind(0).String(), RowState(99).String(), Outcome(-1).String(), OperationKind(7).String()} {
		if len(word) < len("unknown(") || word[:8] != "unknown(" {
			t.Errorf("an unknown value is formatted as %q", word)
		}
	}
}
