package entry

import (
	"expvar"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/latency"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// maxServiceLatencies and maxTargetLatencies bound for how many services and targets a box
	// keeps histograms; together they take about 1 MB.
	maxServiceLatencies = 32
	maxTargetLatencies  = 256
)

// metrics are the counters and latency histograms of an entry; they are published by expvar.
type metrics struct {
	held            expvar.Int
	probes          expvar.Int
	unknownOutcomes expvar.Int
	badRequests     expvar.Int
	refusals        expvar.Map
	services        *latency.KeyedHistograms[units.ServiceName]
	targets         *latency.KeyedHistograms[targetKey]
}

type targetKey struct {
	service units.ServiceName
	target  units.TargetID
}

func newMetrics() *metrics {
	m := &metrics{
		services: latency.NewKeyedHistograms[units.ServiceName](latency.Fine, maxServiceLatencies),
		targets:  latency.NewKeyedHistograms[targetKey](latency.Coarse, maxTargetLatencies),
	}
	m.refusals.Init()
	return m
}

// observe records how long a call took from its arrival to its answer.
func (m *metrics) observe(e *routing.Endpoint, took time.Duration) {
	m.services.Observe(e.Service, took)
	if e.Relay != "" {
		return
	}
	m.targets.Observe(targetKey{service: e.Service, target: e.Target}, took)
}

// Latency summarizes how long the calls of a service took, or those of one target if Target is set.
type Latency struct {
	Service units.ServiceName `json:"service"`
	Target  units.TargetID    `json:"target,omitempty"`
	latency.Summary
}

func (m *metrics) latencies() []Latency {
	var all []Latency
	m.services.Each(func(s units.ServiceName, x latency.Summary) {
		all = append(all, Latency{Service: s, Summary: x})
	})
	m.targets.Each(func(k targetKey, x latency.Summary) {
		all = append(all, Latency{Service: k.service, Target: k.target, Summary: x})
	})
	return all
}

// Metrics returns the values that expvar publishes for this entry.
func (e *Entry) Metrics() map[string]any {
	s := e.Status()
	return map[string]any{
		"held":        e.metrics.held.Value(),
		"probes":      e.metrics.probes.Value(),
		"unknown":     e.metrics.unknownOutcomes.Value(),
		"badRequests": e.metrics.badRequests.Value(),
		"refusals":    s.Routing.Refusals,
		"latency":     e.metrics.latencies(),
		"link":        e.pacer.Counts(),
		"inbound":     s.Routing.Inbound,
		"revision":    s.Subscription.Revision,
		"tableAgeMs":  s.Subscription.GrantAge.Milliseconds(),
		"leaseLeftMs": s.Subscription.LeaseLeft.Milliseconds(),
		"inFlight":    s.Routing.Calls,
		"services":    s.Routing.Services,
		"loans":       s.Routing.Loans,
		"relays":      s.Routing.Relays,
		"cutOff":      s.Routing.CutOff(),
		"connections": s.Connections,
		"admission":   s.Admission,
		"bodies":      s.Bodies,
		"leaving":     s.Leaving,
	}
}
