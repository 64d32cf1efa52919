package replay

import (
	"fmt"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func (s *simulation) prepare() error {
	s.table = s.makeTable()
	for _, n := range s.table.ServiceNames() {
		for row := range s.table.Services[n].Rows.All() {
			spec := s.spec(n)
			t := &target{row: *row, slots: spec.Slots, queueLimit: spec.Queue, slow: 1, busy: map[*job]bool{}, perSecond: map[int]int{}}
			s.targets[row.Target] = t
			s.targetOrder = append(s.targetOrder, t)
		}
	}
	for i := range s.trace.Boxes {
		if err := s.addBox(i); err != nil {
			return err
		}
	}
	s.after(settleTime, func() {
		for i := range s.trace.Services {
			s.scheduleArrival(&s.trace.Services[i], s.receiveCall)
		}
	})
	for _, e := range s.trace.Events {
		s.after(s.trace.warmup()+e.At.Std(), func() { s.startEvent(e) })
	}
	return nil
}

func (s *simulation) addBox(i int) error {
	b := &box{
		id: units.BoxID(fmt.Sprintf("box-%02d", i)), domain: s.trace.Domains[i%len(s.trace.Domains)],
		idle: map[units.TargetID]int{},
	}
	router, err := routing.NewRouter(routing.Settings{
		Box: b.id, Domain: b.domain, Seed: s.trace.Seed + uint64(i), Policy: routing.PolicyName(s.variant.Policy),
		ShareDelay: shareDelay, ProbeCost: s.trace.Network.Probe.Std(), Loans: s.variant.Loans,
		MaxDeadline: routing.DefaultMaxDeadline,
	}, s.now)
	if err != nil {
		return err
	}
	b.router = router
	s.boxes = append(s.boxes, b)
	s.renewLease(b)
	s.updateTable(b, s.table)
	s.scheduleWake(b)
	return nil
}

// makeTable returns the initial table.
func (s *simulation) makeTable() *table.Table {
	t := table.NewTable()
	t.Revision = 1
	for i := range s.trace.Boxes {
		t.Boxes = append(t.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%02d", i))})
	}
	for i := range s.trace.Services {
		spec := &s.trace.Services[i]
		entry := &table.Entry{Version: 1, Service: s.serviceRow(spec)}
		for k := range spec.Targets {
			entry.Rows = entry.Rows.With(s.targetRow(spec, k))
		}
		t.Services[spec.Name] = entry
	}
	return t
}

func (s *simulation) serviceRow(spec *Service) table.Service {
	v := table.Service{
		Name: spec.Name, Hosts: []string{string(spec.Name)}, Deadline: spec.Deadline.Std(),
		HoldLimit: spec.HoldLimit.Std(), HoldCount: table.DefaultHoldCount,
		RetryBudget: table.DefaultRetryBudget, MeasureBudget: units.Percent(spec.MeasureBudget),
	}
	v.Work.UnmarshalText([]byte(spec.Work))
	if s.variant.Hedges {
		v.HedgeBudget = table.DefaultHedgeBudget
	}
	return v
}

func (s *simulation) targetRow(spec *Service, k int) table.Row {
	r := table.Row{
		Service: spec.Name, Target: units.TargetID(fmt.Sprintf("%s-%02d", spec.Name, k)), Address: "127.0.0.1:1",
		Domain: s.trace.Domains[k%len(s.trace.Domains)], Weight: 100, State: table.Active,
	}
	if len(spec.Weights) > 0 {
		r.Weight = spec.Weights[k%len(spec.Weights)]
	}
	if s.variant.Limits {
		r.MaxInFlight = spec.Limit
	}
	return r
}

func (s *simulation) spec(name units.ServiceName) *Service {
	for i := range s.trace.Services {
		if s.trace.Services[i].Name == name {
			return &s.trace.Services[i]
		}
	}
	return nil
}
