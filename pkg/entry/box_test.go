package entry

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
)

// startTestBox starts a box that serves by a table without a control replica.
func startTestBox(t *testing.T, v *table.Table, adjust func(*config.Settings)) *Entry {
	settings := config.Defaults()
	settings.Box = "me"
	settings.Entry.ServeStale = true
	adjust(settings)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e, err := NewEntry(&common.Common{Log: logrus.NewEntry(logger), Settings: settings, Clock: clock.NewClock()}, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	e.reduce(&routing.TableChanged{Table: v})
	return e
}
