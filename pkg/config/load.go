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

// Problem is one error in a settings file.
type Problem struct {
	// Path is the path of the field, such as entry.listen, or "file" for the file as a whole.
	Path    string `json:"place"`
	Message string `json:"what"`
	Remedy  string `json:"remedy"`
}

// String formats the problem in one line.
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

// Parse parses and checks the content of a settings file. Its errors are those of Load.
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

// parse decodes the file over the defaults and returns a problem for each value that can't be
// decoded.
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

// decode stores a decoded JSON value in a field of the settings. It continues after a problem,
// so that all of them are reported at once.
func decode(path string, value any, dst reflect.Value) []Problem {
	if dst.Kind() == reflect.Struct {
		return decodeStruct(path, value, dst)
	}
	if dst.Kind() == reflect.Slice {
		return decodeSlice(path, value, dst)
	}
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, dst.Addr().Interface())
	}
	if err != nil {
		remedy := fault.RemedyOf(err)
		if remedy == "" {
			remedy = "write a " + typeDescription(dst.Type())
		}
		return []Problem{{Path: path, Message: fmt.Sprintf("%s doesn't fit", data), Remedy: remedy}}
	}
	return nil
}

func decodeStruct(path string, value any, dst reflect.Value) []Problem {
	object, ok := value.(map[string]any)
	if !ok {
		return []Problem{{Path: pathOrFile(path), Message: "this isn't an object", Remedy: "write { ... }"}}
	}
	fields := fieldIndexes(dst.Type())
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	var problems []Problem
	for _, name := range names {
		fieldPath := joinPath(path, name)
		i, known := fields[name]
		if !known {
			problems = append(problems, Problem{Path: fieldPath, Message: "there is no such field", Remedy: "remove it, or see docs/SETTINGS.md for the right name"})
			continue
		}
		problems = append(problems, decode(fieldPath, object[name], dst.Field(i))...)
	}
	return problems
}

func decodeSlice(path string, value any, dst reflect.Value) []Problem {
	list, ok := value.([]any)
	if !ok {
		return []Problem{{Path: path, Message: "this isn't a list", Remedy: "write [ ... ]"}}
	}
	var problems []Problem
	out := reflect.MakeSlice(dst.Type(), len(list), len(list))
	for i, element := range list {
		problems = append(problems, decode(fmt.Sprintf("%s[%d]", path, i), element, out.Index(i))...)
	}
	dst.Set(out)
	return problems
}

// fieldIndexes returns the index of each field of a struct by its JSON name.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

// typeDescription returns what to write for a value of a type.
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrFile(path string) string {
	if path == "" {
		return "file"
	}
	return path
}
