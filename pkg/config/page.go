package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Page returns the text of docs/SETTINGS.md: every field with its default and its description
// from the struct tags.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("The daemon reads one file in JSON with comments: `madderpond --settings FILE`.\n")
	b.WriteString("`madderpond --settings FILE --check` lists all faults at once and exits with 2 if there are any.\n")
	b.WriteString("An unknown field is a fault. This page is made from the code by `make docs`.\n\n")
	b.WriteString("The file is read again on SIGHUP and when it has changed. A running process takes changes of `" +
		strings.Join(reloadableFields, "`, `") + "` (`replicas` on boxes without the role control only);\n")
	b.WriteString("all others take a restart. `madderctl settings --server BOX` shows what waits, and why a file is refused.\n\n")
	b.WriteString("| field | default | what it is |\n|---|---|---|\n")
	writeFields(&b, "", reflect.ValueOf(Defaults()).Elem())
	return b.String()
}

func writeFields(b *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		fieldPath := joinPath(path, f.Tag.Get("json"))
		if f.Type.Kind() == reflect.Struct {
			writeFields(b, fieldPath, v.Field(i))
			continue
		}
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			fmt.Fprintf(b, "| `%s` | `[]` | %s |\n", fieldPath, f.Tag.Get("doc"))
			writeFields(b, fieldPath+"[]", reflect.New(f.Type.Elem()).Elem())
			continue
		}
		value, _ := json.Marshal(v.Field(i).Interface())
		fmt.Fprintf(b, "| `%s` | `%s` | %s |\n", fieldPath, value, f.Tag.Get("doc"))
	}
}
