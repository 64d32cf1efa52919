package config

import (
	"reflect"
	"strings"
)

// Difference is a field in which two settings differ.
type Difference struct {
	// Path is the path of the field, such as entry.listen.
	Path string `json:"place"`
	// Reloadable tells whether a running process takes the change; else it takes a restart.
	Reloadable bool `json:"running"`
}

// reloadableFields are the fields whose changes a running process takes. All others tie it to
// its ports or its data folder, or are part of what it has promised to others.
var reloadableFields = []string{"logLevel", "memoryLimitMB", "seeds", "replicas", "regions"}

// Differences returns the fields in which two settings differ, in the order of the
// settings. Lists are compared as a whole.
func Differences(a, b *Settings) []Difference {
	all := compareFields("", reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem())
	for i := range all {
		// A replica's own list says with whom it votes.
		if all[i].Path == "replicas" && a.Has(RoleControl) {
			all[i].Reloadable = false
		}
	}
	return all
}

// MergeReloadable returns the settings of a running process after it has taken what it can of
// others.
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

func compareFields(place string, a, b reflect.Value) []Difference {
	if a.Kind() != reflect.Struct {
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			return nil
		}
		return []Difference{{Path: place, Reloadable: isReloadable(place)}}
	}
	var all []Difference
	for i := range a.NumField() {
		name := joinPath(place, a.Type().Field(i).Tag.Get("json"))
		all = append(all, compareFields(name, a.Field(i), b.Field(i))...)
	}
	return all
}

func isReloadable(place string) bool {
	for _, p := range reloadableFields {
		if place == p || strings.HasPrefix(place, p+".") {
			return true
		}
	}
	return false
}
