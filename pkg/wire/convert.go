package wire

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// mapSlice converts every value of a slice; an empty slice becomes nil.
func mapSlice[A, B any](values []A, convert func(A) B) []B {
	if len(values) == 0 {
		return nil
	}
	out := make([]B, 0, len(values))
	for _, v := range values {
		out = append(out, convert(v))
	}
	return out
}

// FromService converts a service and its version to a message.
func FromService(s *table.Service, version units.Version) *Service {
	return &Service{
		Name: string(s.Name), Kind: int32(s.Work), Hosts: s.Hosts, PathPrefix: s.PathPrefix,
		Deadline: int64(s.Deadline), HoldLimit: int64(s.HoldLimit), HoldCount: int32(s.HoldCount),
		RetryBudget: float64(s.RetryBudget), HedgeBudget: float64(s.HedgeBudget),
		MeasureBudget: float64(s.MeasureBudget), Version: uint64(version),
		ExtraBurst: int32(s.ExtraBurst), TargetConnections: int32(s.TargetConnections), ProbePath: s.ProbePath,
		ProbeTargets: int32(s.ProbeTargets), ColdRate: s.ColdRate,
	}
}

// ToService is the inverse of FromService; nil stays nil, and the version is dropped.
func ToService(s *Service) *table.Service {
	if s == nil {
		return nil
	}
	return &table.Service{
		Name: units.ServiceName(s.Name), Work: table.WorkKind(s.Kind), Hosts: s.Hosts, PathPrefix: s.PathPrefix,
		Deadline: time.Duration(s.Deadline), HoldLimit: time.Duration(s.HoldLimit), HoldCount: int(s.HoldCount),
		RetryBudget: units.Percent(s.RetryBudget), HedgeBudget: units.Percent(s.HedgeBudget),
		MeasureBudget: units.Percent(s.MeasureBudget),
		ExtraBurst:    int(s.ExtraBurst), TargetConnections: int(s.TargetConnections), ProbePath: s.ProbePath,
		ProbeTargets: int(s.ProbeTargets), ColdRate: s.ColdRate,
	}
}

// FromRow converts a row to a message.
func FromRow(r *table.Row) *Row {
	return &Row{
		Service: string(r.Service), Target: string(r.Target), Address: r.Address, Domain: string(r.Domain),
		Weight: int32(r.Weight), MaxInFlight: int32(r.MaxInFlight), MaxConnections: int32(r.MaxConnections),
		MaxRate: r.MaxRate, State: int32(r.State),
		Registered: r.Registered, Slots: int32(r.Slots), Cold: int64(r.Cold), Silent: r.Silent,
		Software: string(r.Software), Born: int64(r.Born),
	}
}

// ToRow is the inverse of FromRow; nil stays nil.
func ToRow(r *Row) *table.Row {
	if r == nil {
		return nil
	}
	return &table.Row{
		Service: units.ServiceName(r.Service), Target: units.TargetID(r.Target), Address: r.Address,
		Domain: units.Domain(r.Domain), Weight: int(r.Weight), MaxInFlight: int(r.MaxInFlight),
		MaxConnections: int(r.MaxConnections), MaxRate: r.MaxRate, State: table.RowState(r.State),
		Registered: r.Registered, Slots: int(r.Slots), Cold: time.Duration(r.Cold), Silent: r.Silent,
		Software: units.SoftwareVersion(r.Software), Born: units.WallTime(r.Born),
	}
}

// FromBox converts a box to a message.
func FromBox(b table.Box) *Box {
	return &Box{Id: string(b.ID), Domain: string(b.Domain), Address: b.Address, Leaving: b.Leaving}
}

// ToBox is the inverse of FromBox; nil gives the zero value.
func ToBox(b *Box) table.Box {
	return table.Box{
		ID: units.BoxID(b.GetId()), Domain: units.Domain(b.GetDomain()),
		Address: b.GetAddress(), Leaving: b.GetLeaving(),
	}
}

// FromBoxChange converts a change of the list of boxes to a message.
func FromBoxChange(c table.BoxChange) *BoxChange {
	return &BoxChange{
		Put:     mapSlice(c.Put, FromBox),
		Removed: mapSlice(c.Removed, func(id units.BoxID) string { return string(id) }),
	}
}

// ToBoxChange is the inverse of FromBoxChange.
func ToBoxChange(c *BoxChange) table.BoxChange {
	return table.BoxChange{
		Put:     mapSlice(c.Put, ToBox),
		Removed: mapSlice(c.Removed, func(id string) units.BoxID { return units.BoxID(id) }),
	}
}

func fromVersions(versions map[units.ServiceName]units.Version) []*Base {
	out := make([]*Base, 0, len(versions))
	for _, n := range slices.Sorted(maps.Keys(versions)) {
		out = append(out, &Base{Service: string(n), Version: uint64(versions[n])})
	}
	return out
}

func toVersions(bases []*Base) map[units.ServiceName]units.Version {
	out := make(map[units.ServiceName]units.Version, len(bases))
	for _, b := range bases {
		out[units.ServiceName(b.Service)] = units.Version(b.Version)
	}
	return out
}

// FromEdit converts an edit to a message.
func FromEdit(e *table.Edit) *Edit {
	return &Edit{
		Id: string(e.ID), Operator: e.Operator, Bases: fromVersions(e.Bases),
		Operations: mapSlice(e.Operations, fromOperation),
	}
}

// ToEdit is the inverse of FromEdit.
func ToEdit(e *Edit) *table.Edit {
	return &table.Edit{
		ID: units.EditID(e.GetId()), Operator: e.GetOperator(), Bases: toVersions(e.GetBases()),
		Operations: mapSlice(e.GetOperations(), toOperation),
	}
}

func fromOperation(o table.Operation) *Operation {
	out := &Operation{Kind: int32(o.Kind)}
	if o.Service != nil {
		out.Service = FromService(o.Service, 0)
	}
	if o.Row != nil {
		out.Row = FromRow(o.Row)
	}
	return out
}

func toOperation(o *Operation) table.Operation {
	return table.Operation{Kind: table.OperationKind(o.Kind), Service: ToService(o.Service), Row: ToRow(o.Row)}
}

func fromResult(r table.Result) *EditResult {
	return &EditResult{
		Edit: string(r.Edit), Operator: r.Operator, Outcome: int32(r.Outcome), Revision: uint64(r.Revision),
		Versions: fromVersions(r.Versions), Detail: r.Detail, Operations: int32(r.Operations), At: int64(r.At),
	}
}

func toResult(r *EditResult) table.Result {
	return table.Result{
		Edit: units.EditID(r.Edit), Operator: r.Operator, Outcome: table.Outcome(r.Outcome),
		Revision: units.Revision(r.Revision), Versions: toVersions(r.Versions), Detail: r.Detail,
		Operations: int(r.Operations), At: units.WallTime(r.At),
	}
}

func fromDomainStep(s scope.DomainStep) *DomainStep {
	return &DomainStep{Domain: string(s.Domain), Step: int32(s.Step)}
}

func toDomainStep(s *DomainStep) scope.DomainStep {
	return scope.DomainStep{Domain: units.Domain(s.Domain), Step: scope.Step(s.Step)}
}

// flatEntries holds the services and rows of a list of entries as two separate lists, as
// messages carry them.
type flatEntries struct {
	services []*Service
	rows     []*Row
}

func fromEntries(entries []*table.Entry) flatEntries {
	var flat flatEntries
	for _, e := range entries {
		service := FromService(&e.Service, e.Version)
		service.Division = mapSlice(e.Division, fromDomainStep)
		flat.services = append(flat.services, service)
		for r := range e.Rows.All() {
			flat.rows = append(flat.rows, FromRow(r))
		}
	}
	return flat
}

func (f flatEntries) entries() []*table.Entry {
	rows := make(map[string][]table.Row, len(f.services))
	for _, r := range f.rows {
		rows[r.Service] = append(rows[r.Service], *ToRow(r))
	}
	entries := make([]*table.Entry, 0, len(f.services))
	for _, s := range f.services {
		entries = append(entries, &table.Entry{
			Service: *ToService(s), Version: units.Version(s.Version), Division: mapSlice(s.Division, toDomainStep), Rows: table.RowsOf(rows[s.Name]...),
		})
	}
	return entries
}

// FromTable converts a table to a message, without the results of edits.
func FromTable(t *table.Table) *Table {
	entries := make([]*table.Entry, 0, len(t.Services))
	for _, n := range t.ServiceNames() {
		entries = append(entries, t.Services[n])
	}
	flat := fromEntries(entries)
	return &Table{
		Revision: uint64(t.Revision), Services: flat.services, Rows: flat.rows,
		Boxes: mapSlice(t.Boxes, FromBox), DocumentVersion: uint64(t.Document), Routes: fromRoutes(t.Routes),
		Evacuations: mapSlice(t.Evacuations, fromEvacuation),
		Rollouts:    mapSlice(t.Rollouts, fromRollout), InForce: mapSlice(t.InForce, fromSoftwareInForce),
		Quarantines: mapSlice(t.Quarantines, fromQuarantine),
		Workspaces:  mapSlice(t.Workspaces, fromWorkspace), KeysRequired: t.KeysRequired,
	}
}

// ToTable is the inverse of FromTable.
func ToTable(t *Table) *table.Table {
	out := table.NewTable()
	out.Revision = units.Revision(t.Revision)
	for _, e := range (flatEntries{services: t.Services, rows: t.Rows}).entries() {
		out.Services[e.Service.Name] = e
	}
	out.Boxes = mapSlice(t.Boxes, ToBox)
	out.Document = units.DocumentVersion(t.DocumentVersion)
	out.Routes = toRoutes(t.Routes)
	out.Evacuations = mapSlice(t.Evacuations, toEvacuation)
	out.Rollouts = mapSlice(t.Rollouts, toRollout)
	out.InForce = mapSlice(t.InForce, toSoftwareInForce)
	out.Quarantines = mapSlice(t.Quarantines, toQuarantine)
	out.Workspaces = mapSlice(t.Workspaces, toWorkspace)
	out.KeysRequired = t.KeysRequired
	return out
}

// FromDelta converts a delta to a message.
func FromDelta(d *table.Delta) *Delta {
	flat := fromEntries(d.Changed)
	out := &Delta{
		From: uint64(d.From), Revision: uint64(d.Revision), Services: flat.services, Rows: flat.rows,
		Removed: mapSlice(d.Removed, func(n units.ServiceName) string { return string(n) }),

		DocumentVersion: uint64(d.Document), Routes: mapSlice(d.Routes.Put, FromRoute),
		RemovedRoutes: mapSlice(d.Routes.Removed, fromRouteKey), Patched: mapSlice(d.Patched, fromPatch),
		Evacuations: mapSlice(d.Evacuations, fromEvacuation),
		Rollouts:    mapSlice(d.Rollouts, fromRollout), InForce: mapSlice(d.InForce, fromSoftwareInForce),
		Quarantines: mapSlice(d.Quarantines, fromQuarantine), Released: FromFingerprints(d.Released),
		Workspaces:        mapSlice(d.Workspaces.Put, fromWorkspace),
		RemovedWorkspaces: mapSlice(d.Workspaces.Removed, func(n units.WorkspaceName) string { return string(n) }),
		KeysRequired:      d.KeysRequired,
	}
	if !d.Boxes.Empty() {
		out.Boxes = FromBoxChange(d.Boxes)
	}
	return out
}

// ToDelta is the inverse of FromDelta.
func ToDelta(d *Delta) *table.Delta {
	out := &table.Delta{
		From: units.Revision(d.From), Revision: units.Revision(d.Revision),
		Changed: flatEntries{services: d.Services, rows: d.Rows}.entries(),
		Removed: mapSlice(d.Removed, func(n string) units.ServiceName { return units.ServiceName(n) }),

		Document:    units.DocumentVersion(d.DocumentVersion),
		Patched:     mapSlice(d.Patched, toPatch),
		Evacuations: mapSlice(d.Evacuations, toEvacuation),
		Rollouts:    mapSlice(d.Rollouts, toRollout), InForce: mapSlice(d.InForce, toSoftwareInForce),
		Quarantines: mapSlice(d.Quarantines, toQuarantine), Released: ToFingerprints(d.Released),
		Routes: table.RouteChange{Put: mapSlice(d.Routes, ToRoute), Removed: mapSlice(d.RemovedRoutes, toRouteKey)},
		Workspaces: table.WorkspaceChange{
			Put:     mapSlice(d.Workspaces, toWorkspace),
			Removed: mapSlice(d.RemovedWorkspaces, func(n string) units.WorkspaceName { return units.WorkspaceName(n) }),
		},
		KeysRequired: d.KeysRequired,
	}
	if d.Boxes != nil {
		out.Boxes = ToBoxChange(d.Boxes)
	}
	return out
}

// EncodeState encodes the whole replicated state for a snapshot.
func EncodeState(s *table.State) ([]byte, error) {
	t := FromTable(s.Table())
	t.Results = mapSlice(s.Results(), fromResult)
	t.History = mapSlice(s.History(), fromResult)
	t.Document = FromDocument(s.Document())
	s.EachRegistration(func(r *table.Registration) { t.Registrations = append(t.Registrations, FromRegistration(r)) })
	slices.SortFunc(t.Registrations, func(a, b *Registration) int { return strings.Compare(a.Target, b.Target) })
	for _, x := range s.DepartedTargets() {
		t.Departed = append(t.Departed, string(x.Target))
		t.DepartedBorn = append(t.DepartedBorn, int64(x.Born))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(t)
}

// DecodeState is the inverse of EncodeState. The error is a Damaged fault.
func DecodeState(data []byte) (*table.State, error) {
	t := &Table{}
	if err := proto.Unmarshal(data, t); err != nil {
		return nil, fault.Wrap(err, fault.Damaged, "start with an empty data folder", "the snapshot's state can't be decoded")
	}
	s := table.RestoreState(ToTable(t), mapSlice(t.Results, toResult), mapSlice(t.History, toResult))
	s.RestoreDocument(ToDocument(t.Document), mapSlice(t.Registrations, ToRegistration), toDepartures(t))
	return s, nil
}

// toDepartures returns the departed targets of a snapshot. Older snapshots have no start times
// for them.
func toDepartures(t *Table) []table.Departure {
	list := make([]table.Departure, 0, len(t.Departed))
	for i, id := range t.Departed {
		x := table.Departure{Target: units.TargetID(id)}
		if i < len(t.DepartedBorn) {
			x.Born = units.WallTime(t.DepartedBorn[i])
		}
		list = append(list, x)
	}
	return list
}
