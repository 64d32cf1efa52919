package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Problem is one fault of a settings file.
type Problem struct {
	// Path is the path of the field, such as entry.listen.
	Path    string `json:"place"`
	Message string `json:"what"`
	Remedy  string `json:"remedy"`
}

// String tells the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Path, p.Message, p.Remedy)
}

// Load reads and checks a settings file. The error is a Settings fault that
// lists every problem.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "name a file that can be read", "the settings can't be read")
	}
	return Parse(data)
}

// Parse reads and checks settings as Load does.
func Parse(data []byte) (*Settings, error) {
	s, problems := parse(data)
	if len(problems) == 0 {
		problems = Check(s)
	}
	if len(problems) == 0 {
		return s, nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return nil, fault.New(fault.Settings, "mend these places", "the settings have %d faults:\n  %s\n", len(problems), strings.Join(lines, "\n  "))
}

// parse decodes the file over the defaults. What can't be decoded is listed with
// everything else that can't.
func parse(data []byte) (*Settings, []Problem) {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, []Problem{{Path: "file", Message: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}}
	}
	var tree any
	if err := json.Unmarshal(plain, &tree); err != nil {
		return nil, []Problem{{Path: "file", Message: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}}
	}
	s := Defaults()
	problems := decode("", tree, reflect.ValueOf(s).Elem())
	return s, problems
}

// decode puts a decoded JSON value into a field of the settings, and goes on
// after a problem, so that all of them come to light at once.
func decode(place string, tree any, into reflect.Value) []Problem {
	if into.Kind() == reflect.Struct {
		return decodeStruct(place, tree, into)
	}
	if into.Kind() == reflect.Slice {
		return decodeSlice(place, tree, into)
	}
	data, err := json.Marshal(tree)
	if err == nil {
		err = json.Unmarshal(data, into.Addr().Interface())
	}
	if err != nil {
		remedy := fault.RemedyOf(err)
		if remedy == "" {
			remedy = "write a " + typeDescription(into.Type())
		}
		return []Problem{{Path: place, Message: fmt.Sprintf("%s doesn't fit", data), Remedy: remedy}}
	}
	return nil
}

func decodeStruct(place string, tree any, into reflect.Value) []Problem {
	object, ok := tree.(map[string]any)
	if !ok {
		return []Problem{{Path: pathOrFile(place), Message: "this isn't an object", Remedy: "write { ... }"}}
	}
	fields := fieldIndexes(into.Type())
	names := make([]string, 0, len(object))
	for n := range object {
		names = append(names, n)
	}
	sort.Strings(names)
	var problems []Problem
	for _, n := range names {
		at := joinPath(place, n)
		i, known := fields[n]
		if !known {
			problems = append(problems, Problem{Path: at, Message: "there is no such field", Remedy: "remove it, or see docs/SETTINGS.md for the right name"})
			continue
		}
		problems = append(problems, decode(at, object[n], into.Field(i))...)
	}
	return problems
}

func decodeSlice(place string, tree any, into reflect.Value) []Problem {
	list, ok := tree.([]any)
	if !ok {
		return []Problem{{Path: place, Message: "this isn't a list", Remedy: "write [ ... ]"}}
	}
	var problems []Problem
	out := reflect.MakeSlice(into.Type(), len(list), len(list))
	for i, x := range list {
		problems = append(problems, decode(fmt.Sprintf("%s[%d]", place, i), x, out.Index(i))...)
	}
	into.Set(out)
	return problems
}

func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "whole number"
	default:
		return "string"
	}
}

func joinPath(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

func pathOrFile(place string) string {
	if place == "" {
		return "file"
	}
	return place
}
