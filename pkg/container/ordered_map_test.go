package container

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOrderedKeepsTheOrderOfItsKeys(t *testing.T) {
	o := NewOrderedMap[string, int]()
	for i, k := range []string{"c", "a", "b", "a"} {
		o.Put(k, i)
	}
	if d := cmp.Diff([]string{"c", "a", "b"}, o.Keys()); d != "" {
		t.Error(d)
	}
	if got := o.Get("a"); got != 3 {
		t.Errorf("a is %d", got)
	}
	for _, k := range o.Keys() {
		o.Delete(k)
		o.Delete(k)
	}
	if o.Len() != 0 || o.Get("a") != 0 {
		t.Errorf("%d keys are left", o.Len())
	}
}
