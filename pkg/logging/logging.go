// Package logging makes a process's log: JSON lines on standard output, bounded in
// volume, that never hold up whoever writes one.
package logging

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines is how many lines may wait to be written; more are dropped.
	maxQueuedLines = 4096
	// maxKindLinesPerSecond is how many lines of a kind are written a second.
	maxKindLinesPerSecond = 300
	// kindField names the sort of a line; lines are counted by it.
	kindField = "kind"
	// suppressedField says how many lines of a kind were left out before this one.
	suppressedField = "suppressed"
	// flushTimeout is how long the last lines may take at the end.
	flushTimeout = 200 * time.Millisecond
)

// Logger is a log and what becomes of its lines.
type Logger struct {
	*logrus.Logger
	writer *queueWriter
}

// NewLogger returns a log of lines of a level and above. An unknown level is taken as
// info.
func NewLogger(level string) *Logger { return newLogger(level, os.Stdout, time.Now) }

func newLogger(level string, out io.Writer, now func() time.Time) *Logger {
	l := &Logger{Logger: logrus.New(), writer: newQueueWriter(out)}
	l.SetOutput(l.writer)
	l.SetFormatter(&rateLimitedFormatter{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, now: now, kinds: map[string]*kindCounter{},
	})
	l.ChangeLevel(level)
	return l
}

// ChangeLevel sets the least level that is logged; an unknown one changes nothing.
func (l *Logger) ChangeLevel(level string) {
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
}

// Dropped returns how many lines found no room.
func (l *Logger) Dropped() uint64 { return l.writer.dropped.Load() }

// Close writes what waits, as long as that doesn't take too long.
func (l *Logger) Close() { l.writer.close() }

// kindCounter counts the lines of a kind in the present second.
type kindCounter struct {
	second     int64
	written    int
	suppressed int
}

// rateLimitedFormatter leaves out lines of a kind of which there were too many this second,
// and says so in the next line of the kind. logrus calls it under its own lock.
type rateLimitedFormatter struct {
	inner logrus.Formatter
	now   func() time.Time
	lock  sync.Mutex
	kinds map[string]*kindCounter
}

// Format returns nothing for a line that is left out.
func (f *rateLimitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	kind, _ := e.Data[kindField].(string)
	suppressed, ok := f.admit(kind)
	if !ok {
		return nil, nil
	}
	if suppressed > 0 {
		e = e.WithField(suppressedField, suppressed)
	}
	return f.inner.Format(e)
}

func (f *rateLimitedFormatter) admit(kind string) (suppressed int, ok bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	c := f.kinds[kind]
	if c == nil {
		c = &kindCounter{}
		f.kinds[kind] = c
	}
	if second := f.now().Unix(); second != c.second {
		c.second, c.written = second, 0
	}
	if c.written >= maxKindLinesPerSecond {
		c.suppressed++
		return 0, false
	}
	c.written++
	suppressed = c.suppressed
	c.suppressed = 0
	return suppressed, true
}

// queueWriter hands lines to a goroutine that writes them; a line that finds the queue
// full is dropped and counted.
type queueWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closeOnce    sync.Once
	done    chan struct{}
}

func newQueueWriter(out io.Writer) *queueWriter {
	w := &queueWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write never waits and never fails.
func (w *queueWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// logrus uses its buffer again.
	line := append([]byte(nil), p...)
	defer func() {
		// A line that comes after the end has nowhere to go.
		if recover() != nil {
			w.dropped.Add(1)
		}
	}()
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *queueWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.out.Write(line)
	}
}

func (w *queueWriter) close() {
	w.closeOnce.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
