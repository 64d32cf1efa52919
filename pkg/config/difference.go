package config

import (
	"reflect"
	"strings"
)

// Difference is a field whose value differs between two settings.
type Difference struct {
	// Path is the field's path in the settings file, such as entry.listen.
	Path string `json:"place"`
	// Reloadable is true if a running process can apply the change; any other change requires a
	// restart.
	Reloadable bool `json:"running"`
}

// reloadableFields are the fields whose changes a running process applies. The others are read only
// when it starts: they determine its ports and its data folder, or are values that other processes
// rely on, such as the box's name. Replicas and regions are reloadable, although they should be the
// same on every box.
var reloadableFields = []string{"logLevel", "memoryLimitMB", "seeds", "replicas", "regions"}

// Differences returns the fields in which the settings in force, a, and the next settings, b, differ,
// in the order of the fields of Settings. Lists are compared as a whole.
func Differences(a, b *Settings) []Difference {
	all := compareFields("", reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem())
	for i := range all {
		// On a control replica the list of replicas determines the voters, so a change requires a
		// restart.
		if all[i].Path == "replicas" && a.Has(RoleControl) {
			all[i].Reloadable = false
		}
	}
	return all
}

// MergeReloadable returns the settings inForce of a running process with the reloadable fields
// of next. On a control replica the list of replicas stays as it is.
func MergeReloadable(inForce, next *Settings) *Settings {
	merged := *inForce
	merged.LogLevel = next.LogLevel
	merged.MemoryLimitMB = next.MemoryLimitMB
	merged.Seeds = next.Seeds
	merged.Regions = next.Regions
	if !inForce.Has(RoleControl) {
		merged.Replicas = next.Replicas
	}
	return &merged
}

func compareFields(path string, a, b reflect.Value) []Difference {
	if a.Kind() != reflect.Struct {
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			return nil
		}
		return []Difference{{Path: path, Reloadable: isReloadable(path)}}
	}
	var all []Difference
	for i := range a.NumField() {
		name := joinPath(path, a.Type().Field(i).Tag.Get("json"))
		all = append(all, compareFields(name, a.Field(i), b.Field(i))...)
	}
	return all
}

func isReloadable(path string) bool {
	for _, p := range reloadableFields {
		if path == p || strings.HasPrefix(path, p+".") {
			return true
		}
	}
	return false
}
