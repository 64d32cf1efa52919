package wire

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func newBoxes(n int) []table.Box {
	boxes := make([]table.Box, 0, n)
	for i := range n {
		boxes = append(boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%05d", i)), Domain: "domain", Address: "10.0.0.1:7100"})
	}
	return boxes
}

// When one box joins or leaves, the message to the other boxes must not grow with their number:
// a box has 28 KB a second for control traffic.
func TestAChangeOfOneBoxStaysSmall(t *testing.T) {
	const boxes, maxBytes = 18_000, 200
	to := newBoxes(boxes)
	d := &table.Delta{From: 1, Revision: 2, Boxes: table.BoxDifference(to[1:], to)}
	if size := proto.Size(FromDelta(d)); size > maxBytes {
		t.Fatalf("a change of one box of %d takes %d bytes", boxes, size)
	}
}

// An empty list of workspaces admits only calls of public routes; it must not become nil, which admits every call.
func TestAnEmptyListOfWorkspacesStaysOne(t *testing.T) {
	for _, list := range []table.Workspaces{nil, {}} {
		restored := ToDocument(FromDocument(&table.Document{Version: 1, Workspaces: list}))
		if (restored.Workspaces == nil) != (list == nil) {
			t.Errorf("%#v comes back as %#v", list, restored.Workspaces)
		}
	}
}

func TestStateComesBackAsItWas(t *testing.T) {
	s := table.NewState()
	s.ApplyBoxes(table.BoxChange{Put: newBoxes(3)})
	s.ApplyEdit(&table.Edit{
		ID: "e1", Operator: "o", Bases: map[units.ServiceName]units.Version{"s": 0},
		Operations: []table.Operation{
			{Kind: table.PutService, Service: &table.Service{Name: "s", Work: table.AtMostOnce, Hosts: []string{"s.test"}, Deadline: 1}},
			{Kind: table.PutRow, Row: &table.Row{Service: "s", Target: "t", Address: "10.0.0.1:1", Weight: 1, MaxRate: 2.5, State: table.Leaving}},
		},
	}, 5)
	s.ApplyEdit(&table.Edit{ID: "e2"}, 6)
	s.ApplyDocument(&table.Document{
		Version: 3, Services: []table.Service{{Name: "s", Work: table.AtMostOnce, Deadline: 1}},
		Routes:     []*table.Route{{Name: "r", PathPrefix: "/", Public: true, Services: []table.WeightedService{{Service: "s", Weight: 1}}}},
		Workspaces: table.Workspaces{{Name: "w", Keys: []apikey.Digest{apikey.DigestOf([]byte("k"))}, Priority: 0, Ranked: true, Rate: 2.5, Burst: 0.5}},
	})
	s.ApplyEvacuation(&table.EvacuationOrder{Domain: "domain", Evacuate: true, Operator: "o", Base: 9}, 7)
	data, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []string{
		cmp.Diff(s.Table(), restored.Table()), cmp.Diff(s.Document(), restored.Document()), cmp.Diff(s.Results(), restored.Results()), cmp.Diff(s.History(), restored.History()),
	} {
		if d != "" {
			t.Error(d)
		}
	}
	if _, err := DecodeState([]byte{0xff}); err == nil {
		t.Error("DecodeState accepted invalid bytes")
	}
}
