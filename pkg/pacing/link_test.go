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

// arrival is a response that is ready to be written at a given time.
type arrival struct {
	name      string
	bytes     int
	objective time.Duration
	at        time.Duration
	// disconnectsAfter is after how many pieces the caller disconnects; zero means never.
	disconnectsAfter int
	// repeats is how often it arrives, every the interval.
	repeats int
	every   time.Duration
}

// script runs responses against a link: each large one queues its next piece as soon as it was
// granted one.
type script struct {
	link     *Link
	arrivals []arrival
	writers  map[WriterID]*arrival
	names    []string
	out      strings.Builder
}

// TestLinkScripts drives a link by the files in testdata: "link mbps=N", then
// "answer NAME bytes=N [aim=D] [at=D] [leaves=PIECES] [times=N every=D]", then "run", which
// prints which response wrote how much and when, except for responses that arrive repeatedly.
// aim is a response's latency objective.
func TestLinkScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "link":
				var mbps int
				d.ScanArgs(t, "mbps", &mbps)
				s = &script{link: NewLink(RateFromMegabits(float64(mbps))), writers: map[WriterID]*arrival{}}
				return fmt.Sprintf("piece %d bytes\n", s.link.PieceBytes())
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
	a := arrival{name: d.CmdArgs[0].Key, repeats: 1}
	d.ScanArgs(t, "bytes", &a.bytes)
	d.MaybeScanArgs(t, "leaves", &a.disconnectsAfter)
	d.MaybeScanArgs(t, "times", &a.repeats)
	for key, into := range map[string]*time.Duration{"aim": &a.objective, "at": &a.at, "every": &a.every} {
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
	for range a.repeats {
		s.arrivals = append(s.arrivals, a)
		a.at += a.every
	}
}

// start is when each script begins.
const start = units.Instant(time.Second)

func (s *script) run() string {
	slices.SortStableFunc(s.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	now := start
	for {
		s.startArrivals(now)
		s.grant(now)
		next, ok := s.nextEventAt()
		if !ok {
			return s.out.String()
		}
		now = max(now, next)
	}
}

func (s *script) nextEventAt() (units.Instant, bool) {
	grantAt, ok := s.link.NextGrantAt()
	if len(s.arrivals) == 0 {
		return grantAt, ok
	}
	first := start.Add(s.arrivals[0].at)
	if !ok {
		return first, true
	}
	return min(first, grantAt), true
}

func (s *script) startArrivals(now units.Instant) {
	for len(s.arrivals) > 0 && start.Add(s.arrivals[0].at) <= now {
		a := s.arrivals[0]
		s.arrivals = s.arrivals[1:]
		if s.link.IsSmall(a.bytes) {
			s.link.RecordSmall(now, a.bytes)
			if a.repeats == 1 {
				s.print(now, a.name, a.bytes, "at once")
			}
			continue
		}
		id := WriterID(len(s.names))
		s.names = append(s.names, a.name)
		s.writers[id] = &a
		s.enqueue(now, id)
	}
}

func (s *script) enqueue(now units.Instant, id WriterID) {
	a := s.writers[id]
	s.link.Enqueue(now, id, min(a.bytes, s.link.PieceBytes()), a.objective)
}

func (s *script) grant(now units.Instant) {
	for {
		id, ok := s.link.NextWriter(now)
		if !ok {
			return
		}
		a := s.writers[id]
		n := min(a.bytes, s.link.PieceBytes())
		if a.disconnectsAfter--; a.disconnectsAfter == 0 {
			s.link.Refund(n)
			s.print(now, a.name, 0, "caller gone")
			continue
		}
		a.bytes -= n
		if a.bytes == 0 {
			s.print(now, a.name, n, "done")
			continue
		}
		s.print(now, a.name, n, "")
		s.enqueue(now, id)
	}
}

func (s *script) print(now units.Instant, name string, bytes int, note string) {
	line := fmt.Sprintf("%7.1f ms %s %d %s", float64(now.Sub(start))/float64(time.Millisecond), name, bytes, note)
	s.out.WriteString(strings.TrimRight(line, " ") + "\n")
}
