package config

import (
	"reflect"
	"strings"
)

// Difference is a field in which two settings differ.
type Difference struct {
	// Place is the path of the field, such as entry.listen.
	Place string `json:"place"`
	// Running tells whether a running process takes the change; else it takes a restart.
	Running bool `json:"running"`
}

// takenRunning are the fields whose changes a running process takes. All others tie it to
// its ports or its data folder, or are part of what it has promised to others.
var takenRunning = []string{"logLevel", "memoryLimitMB", "seeds", "replicas", "regions"}

// Differences returns the fields in which two settings differ, in the order of the
// settings. Lists are compared as a whole.
func Differences(a, b *Settings) []Difference {
	all := differences("", reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem())
	for i := range all {
		// A replica's own list says with whom it votes.
		if all[i].Place == "replicas" && a.Has(RoleControl) {
			all[i].Running = false
		}
	}
	return all
}

// MergeRunning returns the settings of a running process after it has taken what it can of
// others.
func MergeRunning(inForce, next *Settings) *Settings {
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

func differences(place string, a, b reflect.Value) []Difference {
	if a.Kind() != reflect.Struct {
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			return nil
		}
		return []Difference{{Place: place, Running: isTakenRunning(place)}}
	}
	var all []Difference
	for i := range a.NumField() {
		name := join(place, a.Type().Field(i).Tag.Get("json"))
		all = append(all, differences(name, a.Field(i), b.Field(i))...)
	}
	return all
}

func isTakenRunning(place string) bool {
	for _, p := range takenRunning {
		if place == p || strings.HasPrefix(place, p+".") {
			return true
		}
	}
	return false
}
