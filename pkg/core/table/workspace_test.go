package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/units"
)

func digests(keys ...string) []apikey.Digest {
	var list []apikey.Digest
	for _, k := range keys {
		list = append(list, apikey.DigestOf([]byte(k)))
	}
	return list
}

func TestCheckWorkspaces(t *testing.T) {
	tests := map[string]struct {
		list Workspaces
		want string
	}{
		"none":             {nil, ""},
		"good":             {Workspaces{{Name: "a", Keys: digests("1", "2")}, {Name: "b", Rate: 3, Burst: 0.5}}, ""},
		"a shared key":     {Workspaces{{Name: "a", Keys: digests("1")}, {Name: "b", Keys: digests("2", "1")}}, `workspace "b": key 2 is also one of workspace "a"`},
		"a key twice":      {Workspaces{{Name: "a", Keys: digests("1", "1")}}, `workspace "a": key 2 is also one of workspace "a"`},
		"a name twice":     {Workspaces{{Name: "a"}, {Name: "a"}}, `workspace "a" appears twice in the document`},
		"no name":          {Workspaces{{}}, `column name`},
		"a line feed":      {Workspaces{{Name: "a\nX-Other: 1"}}, `column name`},
		"a negative rate":  {Workspaces{{Name: "a", Rate: -1}}, `column rate`},
		"a negative burst": {Workspaces{{Name: "a", Burst: -0.1}}, `column burst`},
	}
	for name, x := range tests {
		got := CheckDocument(&Document{Version: 1, Workspaces: x.list})
		if x.want == "" && got != "" || !strings.Contains(got, x.want) {
			t.Errorf("%s: %s", name, got)
		}
	}
}

func drawWorkspaces(t *rapid.T, label string) Workspaces {
	if rapid.IntRange(0, 4).Draw(t, label+" none") == 0 {
		return nil
	}
	list := Workspaces{}
	for i, state := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 6).Draw(t, label) {
		if state > 0 {
			name := fmt.Sprintf("w%d", i)
			list = append(list, Workspace{Name: units.WorkspaceName(name), Keys: digests(name, fmt.Sprint(name, state)), Priority: state})
		}
	}
	return list
}

// Boxes receive documents as deltas. Their workspaces must be those of the newest document, whatever
// the other versions contained and in whatever order they were applied.
func TestWorkspacesFollowTheNewestDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, box := NewState(), NewTable()
		newest := &Document{}
		for i := range rapid.IntRange(1, 6).Draw(t, "documents") {
			d := &Document{
				Version: units.DocumentVersion(rapid.IntRange(1, 6).Draw(t, "version")), Workspaces: drawWorkspaces(t, fmt.Sprint(i)),
			}
			if d.Version > newest.Version {
				newest = d
			}
			before := s.Table()
			if s.ApplyDocument(d) != nil {
				box, _ = box.Patch(Difference(before, s.Table()))
			}
			if delta := s.ApplyBoxes(BoxChange{Put: []Box{{ID: "b"}}}); delta != nil {
				box, _ = box.Patch(delta)
			}
		}
		if diff := cmp.Diff(newest.Workspaces.sorted(), box.Workspaces, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		if box.KeysRequired != (newest.Workspaces != nil) {
			t.Fatalf("keys are required: %v", box.KeysRequired)
		}
	})
}
