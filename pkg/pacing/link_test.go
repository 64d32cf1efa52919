package pacing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// arrival is an answer that is ready to be written at a time.
type arrival struct {
	name  string
	bytes int
	aim   time.Duration
	at    time.Duration
	// leaves is after how many pieces its caller hangs up; zero means never.
	leaves int
	// times is how often it comes, every how far apart.
	times int
	every time.Duration
}

// script plays answers on a link: each large one asks for its next piece as soon as it has
// got one.
type script struct {
	link    *Link
	coming  []arrival
	writing map[WriterID]*arrival
	names   []string
	out     strings.Builder
}

// TestLinkScripts drives a link by the files in testdata: "link mbps=N", then
// "answer NAME bytes=N [aim=D] [at=D] [leaves=PIECES] [times=N every=D]", then "run", which
// prints who wrote how much and when, but for answers that come many times.
func TestLinkScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "link":
				var mbps int
				d.ScanArgs(t, "mbps", &mbps)
				s = &script{link: NewLink(FromMegabits(float64(mbps))), writing: map[WriterID]*arrival{}}
				return fmt.Sprintf("piece %d bytes\n", s.link.Piece())
			case "answer":
				s.addArrivals(readArrival(t, d))
				return ""
			case "run":
				return s.run()
			}
			d.Fatalf(t, "there is no command %s", d.Cmd)
			return ""
		})
	})
}

func readArrival(t *testing.T, d *datadriven.TestData) arrival {
	a := arrival{name: d.CmdArgs[0].Key, times: 1}
	d.ScanArgs(t, "bytes", &a.bytes)
	d.MaybeScanArgs(t, "leaves", &a.leaves)
	d.MaybeScanArgs(t, "times", &a.times)
	for key, into := range map[string]*time.Duration{"aim": &a.aim, "at": &a.at, "every": &a.every} {
		if text := ""; d.MaybeScanArgs(t, key, &text) {
			parsed, err := time.ParseDuration(text)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			*into = parsed
		}
	}
	return a
}

func (s *script) addArrivals(a arrival) {
	for range a.times {
		s.coming = append(s.coming, a)
		a.at += a.every
	}
}

// start is when scripts begin.
const start = units.Instant(time.Second)

func (s *script) run() string {
	slices.SortStableFunc(s.coming, func(a, b arrival) int { return int(a.at - b.at) })
	now := start
	for {
		s.takeArrivals(now)
		s.grant(now)
		next, ok := s.next()
		if !ok {
			return s.out.String()
		}
		now = max(now, next)
	}
}

func (s *script) next() (units.Instant, bool) {
	due, ok := s.link.Due()
	if len(s.coming) == 0 {
		return due, ok
	}
	first := start.Add(s.coming[0].at)
	if !ok {
		return first, true
	}
	return min(first, due), true
}

func (s *script) takeArrivals(now units.Instant) {
	for len(s.coming) > 0 && start.Add(s.coming[0].at) <= now {
		a := s.coming[0]
		s.coming = s.coming[1:]
		if s.link.IsSmall(a.bytes) {
			s.link.Wrote(now, a.bytes)
			if a.times == 1 {
				s.print(now, a.name, a.bytes, "at once")
			}
			continue
		}
		id := WriterID(len(s.names))
		s.names = append(s.names, a.name)
		s.writing[id] = &a
		s.ask(now, id)
	}
}

func (s *script) ask(now units.Instant, id WriterID) {
	a := s.writing[id]
	s.link.Ask(now, id, min(a.bytes, s.link.Piece()), a.aim)
}

func (s *script) grant(now units.Instant) {
	for {
		id, ok := s.link.Next(now)
		if !ok {
			return
		}
		a := s.writing[id]
		n := min(a.bytes, s.link.Piece())
		if a.leaves--; a.leaves == 0 {
			s.link.Unused(n)
			s.print(now, a.name, 0, "caller gone")
			continue
		}
		a.bytes -= n
		if a.bytes == 0 {
			s.print(now, a.name, n, "done")
			continue
		}
		s.print(now, a.name, n, "")
		s.ask(now, id)
	}
}

func (s *script) print(now units.Instant, name string, bytes int, note string) {
	line := fmt.Sprintf("%7.1f ms %s %d %s", float64(now.Sub(start))/float64(time.Millisecond), name, bytes, note)
	s.out.WriteString(strings.TrimRight(line, " ") + "\n")
}
