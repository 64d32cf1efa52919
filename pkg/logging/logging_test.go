package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"
)

func TestLinesOfAKindAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	l := newLogger("info", &out, func() time.Time { return now })
	for range maxKindLinesPerSecond + 50 {
		l.WithField("kind", "busy").Info("again")
	}
	l.WithField("kind", "rare").Info("once")
	now = now.Add(time.Second)
	l.WithField("kind", "busy").Info("later")
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != maxKindLinesPerSecond+2 {
		t.Fatalf("%d lines were written", len(lines))
	}
	var last struct{ Suppressed int }
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil || last.Suppressed != 50 {
		t.Fatalf("the last line reports %+v, %v", last, err)
	}
}

// blockedWriter blocks until it is released, like a pipe whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := newLogger("info", w, time.Now)
	for i := range maxQueuedLines + 100 {
		// Each line has a kind of its own, so that the kinds' rate limit drops none.
		l.WithField("kind", string(rune('a'+i%26))+time.Duration(i).String()).Info("line")
	}
	if l.Dropped() == 0 {
		t.Fatal("no line was dropped though the writer was blocked")
	}
	close(w.release)
	l.Close()
	l.Info("after the end")
}

func TestAnUnknownLevelIsInfo(t *testing.T) {
	l := newLogger("loud", io.Discard, time.Now)
	if l.GetLevel().String() != "info" {
		t.Fatal(l.GetLevel())
	}
}
