package entry

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// BenchmarkTrace measures the cost of the trace per call: recording its steps, and logging
// them for one call in traceSampleInterval; "refused" logs all calls.
func BenchmarkTrace(b *testing.B) {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(io.Discard)
	e := &Entry{Common: &common.Common{Log: logrus.NewEntry(logger), Settings: config.Defaults()}}
	endpoint := &routing.Endpoint{Service: "balance", Target: "balance-1"}
	steps := []step{
		{kind: stepProbeSent, attempt: 1, endpoint: endpoint}, {kind: stepProbeAnswered, attempt: 1, endpoint: endpoint},
		{kind: stepSent, attempt: 1, endpoint: endpoint}, {kind: stepEnded, attempt: 1, result: routing.Answered},
		{kind: stepDelivered, attempt: 1, endpoint: endpoint},
	}
	scenarios := []struct {
		testName string
		run      func(c *call)
	}{
		{"without", func(*call) {}},
		{"ordinary", func(c *call) { e.traceAll(c, steps, true) }},
		{"refused", func(c *call) { e.traceAll(c, steps, false) }},
	}
	for _, s := range scenarios {
		b.Run(s.testName, func(b *testing.B) {
			b.ReportAllocs()
			request := &fasthttp.Request{}
			for range b.N {
				s.run(&call{request: request, arrivedAt: units.Instant(time.Second)})
			}
		})
	}
}

func (e *Entry) traceAll(c *call, steps []step, ordinary bool) {
	for _, s := range steps {
		c.recordStep(s)
	}
	e.logTrace(c, ordinary)
}
