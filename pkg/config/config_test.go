package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/fault"
)

const wellFormed = `{
  // a comment
  "box": "b1", "domain": "d1", "roles": ["entry"],
  "replicas": [{"box": "c1", "address": "127.0.0.1:7100"}],
}`

func TestFaultsAreListedAllAtOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		settings string
		want     []string
	}{
		{"several at once", `{"box": "B 1", "roles": ["king"], "entry": {"maxCalls": -1, "colour": 3, "readTimeout": "soon"}}`,
			[]string{"entry.colour: there is no such field", "entry.readTimeout", `write it as in "250ms"`}},
		{"wrong values", `{"box": "B 1", "roles": ["king"], "entry": {"maxCalls": -1}}`,
			[]string{"box:", "roles[0]", "entry.maxCalls", "replicas"}},
		{"not JSON", `{"box"`, []string{"file:"}},
		{"a list for an object", `{"entry": []}`, []string{"entry: this isn't an object"}},
		{"an open API without a token", strings.Replace(wellFormed, `"b1",`, `"b1", "admin": {"listen": "0.0.0.0:7001"},`, 1), []string{"admin.tokenFile"}},
		{"a replica that isn't on the list", strings.Replace(wellFormed, `"entry"`, `"control"`, 1), []string{"replicas: this box has the role control"}},
		{"a slow heartbeat", strings.Replace(wellFormed, `"b1",`, `"b1", "control": {"heartbeat": "300ms"},`, 1), []string{"control.heartbeat"}},
		{"a share delay below the lease", strings.Replace(wellFormed, `"b1",`, `"b1", "entry": {"shareDelay": "2s"},`, 1), []string{"entry.shareDelay"}},
		{"a host name for an address", strings.Replace(wellFormed, "127.0.0.1:7100", "example.org:1", 1), []string{"replicas[0].address", "IP number"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := Parse([]byte(s.settings))
			if fault.KindOf(err) != fault.Settings {
				t.Fatalf("unexpected error: %v", err)
			}
			for _, w := range s.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("the error lacks %q: %v", w, err)
				}
			}
		})
	}
}

func TestGoodSettingsKeepTheDefaults(t *testing.T) {
	s, err := Parse([]byte(wellFormed))
	if err != nil {
		t.Fatal(err)
	}
	if s.Entry.MaxCalls != Defaults().Entry.MaxCalls || s.Box != "b1" || !s.Has(RoleEntry) {
		t.Fatalf("unexpected settings: %+v", s)
	}
}

func TestTheExamplesHaveNoFaults(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.jsonc")
	if err != nil || len(paths) < 3 {
		t.Fatalf("there are too few examples: %v %v", paths, err)
	}
	for _, p := range paths {
		if _, err := Load(p); err != nil {
			t.Errorf("%s: %v", p, err)
		}
	}
}

func TestTheSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Page() {
		t.Fatal("docs/SETTINGS.md differs from the code; run make docs")
	}
}

func TestEveryFieldIsDescribed(t *testing.T) {
	var visit func(path string, s reflect.Type)
	visit = func(path string, s reflect.Type) {
		for i := range s.NumField() {
			f := s.Field(i)
			fieldPath := joinPath(path, f.Tag.Get("json"))
			if f.Tag.Get("json") == "" || len(f.Tag.Get("doc")) < 10 {
				t.Errorf("%s has no name or description", fieldPath)
			}
			if f.Type.Kind() == reflect.Struct {
				visit(fieldPath, f.Type)
			}
		}
	}
	visit("", reflect.TypeFor[Settings]())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(wellFormed))
	f.Add([]byte(`{"entry": {"listen": 5}, "roles": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again); err != nil {
			t.Fatalf("the marshaled settings can't be parsed again: %v", err)
		}
	})
}

// The setting entry.disable must accept exactly the mechanisms of the routing; its validate tag
// repeats their list.
func TestEveryMechanismCanBeSwitchedOff(t *testing.T) {
	s, err := Parse([]byte(wellFormed))
	if err != nil {
		t.Fatal(err)
	}
	s.Entry.Disable = routing.Mechanisms
	if problems := Check(s); len(problems) > 0 {
		t.Errorf("%v", problems)
	}
	s.Entry.Disable = []routing.Mechanism{"hedgin"}
	if problems := Check(s); len(problems) != 1 {
		t.Errorf("an unknown mechanism gives %v", problems)
	}
}
