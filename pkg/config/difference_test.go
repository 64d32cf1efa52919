package config

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDifferences(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(s *Settings)
		want     []Difference
	}{
		{"none", func(*Settings) {}, nil},
		{"the log level", func(s *Settings) { s.LogLevel = "debug" }, []Difference{{"logLevel", true}}},
		{"the seeds", func(s *Settings) { s.Seeds = []string{"127.0.0.1:1"} }, []Difference{{"seeds", true}}},
		{"a replica's address", func(s *Settings) { s.Replicas = []Replica{{Box: "c", Address: "127.0.0.1:2"}} }, []Difference{{"replicas", true}}},
		{"the regions", func(s *Settings) { s.Regions["north-a"] = "north" }, []Difference{{"regions", true}}},
		{"a port", func(s *Settings) { s.Entry.Listen = "127.0.0.1:3" }, []Difference{{"entry.listen", false}}},
		{"a nested list", func(s *Settings) { s.Entry.Disable = append(s.Entry.Disable, "waiting") }, []Difference{{"entry.disable", false}}},
		{"several", func(s *Settings) { s.Box, s.MemoryLimitMB = "other", 100 }, []Difference{{"box", false}, {"memoryLimitMB", true}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, b := Defaults(), Defaults()
			s.change(b)
			if d := cmp.Diff(s.want, Differences(a, b)); d != "" {
				t.Error(d)
			}
		})
	}
}
