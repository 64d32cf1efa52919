package reload

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/config"
)

const original = `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7001", "127.0.0.1:7002"]}`

// newTestReloader returns a reloader of a file with the original settings, the file's path, and a
// function that returns the settings that were last applied.
func newTestReloader(t *testing.T) (r *Reloader, path string, applied func() *config.Settings) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.jsonc")
	writeSettings(t, path, original)
	inForce, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var last *config.Settings
	r = NewReloader(logrus.NewEntry(log), inForce, Source{Path: path, Load: config.Load}, func(s *config.Settings) { last = s })
	return r, path, func() *config.Settings { return last }
}

func writeSettings(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReload(t *testing.T) {
	scenarios := []struct {
		testName string
		file     string
		// seeds are the applied ones; nil if nothing is applied.
		seeds   []string
		waiting []string
		refused bool
	}{
		{testName: "nothing has changed", file: original},
		{
			testName: "other seeds are taken",
			file:     `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7003"]}`,
			seeds:    []string{"127.0.0.1:7003"},
		},
		{
			testName: "a port waits for a restart, the rest is taken",
			file:     `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7003"], "entry": {"listen": "127.0.0.1:7100"}}`,
			seeds:    []string{"127.0.0.1:7003"}, waiting: []string{"entry.listen"},
		},
		{
			testName: "a file with a fault changes nothing",
			file:     `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7003"], "logLevel": "loud"}`,
			refused:  true,
		},
		{testName: "half a file changes nothing", file: `{"box": "b", "ro`, refused: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r, path, applied := newTestReloader(t)
			writeSettings(t, path, s.file)
			r.Reload()
			var seeds []string
			if a := applied(); a != nil {
				seeds = a.Seeds
			}
			if d := cmp.Diff(s.seeds, seeds); d != "" {
				t.Errorf("other seeds were applied:\n%s", d)
			}
			status := r.Status()
			if d := cmp.Diff(s.waiting, status.PendingRestart); d != "" {
				t.Errorf("other fields are pending:\n%s", d)
			}
			if (status.Refused != "") != s.refused {
				t.Errorf("refused: %q", status.Refused)
			}
			if status.InForce.Entry.Listen != config.Defaults().Entry.Listen {
				t.Error("a field that needs a restart is shown as in force")
			}
		})
	}
}

func TestAChangedFileIsReadWithoutASignal(t *testing.T) {
	r, path, applied := newTestReloader(t)
	r.reloadIfChanged()
	if applied() != nil {
		t.Fatal("an unchanged file was applied")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	r.reloadIfChanged()
	if r.Status().Refused != "" {
		t.Fatal("a file that is being replaced was reported as an error")
	}
	writeSettings(t, path, `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7004"]}`)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(path, later, later); err != nil {
		t.Fatal(err)
	}
	r.reloadIfChanged()
	if applied() == nil || applied().Seeds[0] != "127.0.0.1:7004" {
		t.Fatalf("the changed file wasn't applied: %+v", r.Status())
	}
}

// A field that is changed back before the restart is no longer listed as pending.
func TestAFieldThatIsChangedBackWaitsNoMore(t *testing.T) {
	r, path, _ := newTestReloader(t)
	writeSettings(t, path, `{"box": "b", "roles": ["entry"], "seeds": ["127.0.0.1:7001", "127.0.0.1:7002"], "stop": {"limit": "7s"}}`)
	r.Reload()
	if len(r.Status().PendingRestart) != 1 {
		t.Fatalf("pending: %v", r.Status().PendingRestart)
	}
	writeSettings(t, path, original)
	r.Reload()
	if len(r.Status().PendingRestart) != 0 {
		t.Fatalf("still pending: %v", r.Status().PendingRestart)
	}
}
