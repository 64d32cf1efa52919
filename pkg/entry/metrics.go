package entry

import (
	"expvar"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/latency"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// maxServiceLatencies and maxTargetLatencies bound how many services and targets a box
	// keeps histograms of: about 1 MB together.
	maxServiceLatencies = 32
	maxTargetLatencies  = 256
)

// metrics counts what an entry does; they are published by expvar.
type metrics struct {
	held        expvar.Int
	probes      expvar.Int
	unknown     expvar.Int
	badRequests expvar.Int
	refusals    expvar.Map
	services    *latency.KeyedHistograms[units.ServiceName]
	targets     *latency.KeyedHistograms[latencyKey]
}

type latencyKey struct {
	service units.ServiceName
	target  units.TargetID
}

func newMetrics() *metrics {
	m := &metrics{
		services: latency.NewKeyedHistograms[units.ServiceName](latency.Fine, maxServiceLatencies),
		targets:  latency.NewKeyedHistograms[latencyKey](latency.Coarse, maxTargetLatencies),
	}
	m.refusals.Init()
	return m
}

// observe notes how long a call took from its arrival to its answer.
func (m *metrics) observe(e *routing.Endpoint, took time.Duration) {
	m.services.Observe(e.Service, took)
	m.targets.Observe(latencyKey{service: e.Service, target: e.Target}, took)
}

// Latency is how long the calls of a service took, or of a target where one is named.
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
	m.targets.Each(func(k latencyKey, x latency.Summary) {
		all = append(all, Latency{Service: k.service, Target: k.target, Summary: x})
	})
	return all
}

// Metrics returns what expvar publishes for this entry.
func (e *Entry) Metrics() map[string]any {
	s := e.Status()
	return map[string]any{
		"held":        e.metrics.held.Value(),
		"probes":      e.metrics.probes.Value(),
		"unknown":     e.metrics.unknown.Value(),
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
		"connections": s.Connections,
		"leaving":     s.Leaving,
	}
}
