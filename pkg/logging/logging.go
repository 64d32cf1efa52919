// Package logging provides a process's log: JSON lines on standard output, limited in rate.
// Writing a line never blocks its caller.
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
	// maxQueuedLines is how many lines may be queued for writing; further ones are dropped.
	maxQueuedLines = 4096
	// maxKindLinesPerSecond is how many lines of one kind are written per second.
	maxKindLinesPerSecond = 300
	// kindField is the field that holds the kind of a line; the rate limit applies to each kind.
	kindField = "kind"
	// suppressedField is the number of lines of the kind suppressed since the last one written.
	suppressedField = "suppressed"
	// flushTimeout bounds the time that Close waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// Logger is a logrus logger whose lines are limited in rate and written asynchronously.
type Logger struct {
	*logrus.Logger
	writer *queueWriter
}

// NewLogger returns a logger that writes lines of a level and above to standard output. An
// unknown level counts as info.
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

// ChangeLevel sets the minimum level that is logged; an unknown level changes nothing.
func (l *Logger) ChangeLevel(level string) {
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
}

// Dropped returns how many lines were dropped because the queue was full or closed.
func (l *Logger) Dropped() uint64 { return l.writer.dropped.Load() }

// Close flushes the queued lines, for at most flushTimeout.
func (l *Logger) Close() { l.writer.close() }

// kindCounter counts the lines of a kind: those written in the current second, and those
// suppressed since the last one written.
type kindCounter struct {
	second     int64
	written    int
	suppressed int
}

// rateLimitedFormatter suppresses lines of a kind beyond its limit per second and reports their
// number in the next line of the kind. logrus calls it with its own lock held.
type rateLimitedFormatter struct {
	inner logrus.Formatter
	now   func() time.Time
	lock  sync.Mutex
	kinds map[string]*kindCounter
}

// Format returns nil for a suppressed line.
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

// queueWriter queues lines for a goroutine that writes them. A line that finds the queue full
// is dropped and counted.
type queueWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	closeOnce sync.Once
	done      chan struct{}
}

func newQueueWriter(out io.Writer) *queueWriter {
	w := &queueWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks and returns no error.
func (w *queueWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// logrus reuses its buffer.
	line := append([]byte(nil), p...)
	defer func() {
		// A line written after close panics on the closed channel; it is dropped.
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
