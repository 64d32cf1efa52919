package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/madderpond/madderpond/pkg/fault"
)

func newMessage(bytes int) *Envelope {
	random := rand.New(rand.NewPCG(1, 2))
	data := make([]byte, bytes)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return &Envelope{From: "a", Body: &Envelope_SnapshotRequest{SnapshotRequest: &SnapshotRequest{
		Term: 3, Snapshot: &Snapshot{Index: 9, State: data},
	}}}
}

func TestFragmentsMakeTheMessageAgain(t *testing.T) {
	scenarios := []struct {
		testName  string
		bytes     int
		fragments int
	}{
		{"a small message goes as it is", 100, 1},
		{"one fragment", compressThresholdBytes, 1},
		{"several fragments", 3 * fragmentBytes, 4},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			m := newMessage(s.bytes)
			fragments, err := Fragments(m)
			if err != nil {
				t.Fatal(err)
			}
			if len(fragments) != s.fragments {
				t.Errorf("%d fragments, expected %d", len(fragments), s.fragments)
			}
			if fragments[0] == m {
				return
			}
			var a Assembly
			var assembled *Envelope
			for i, f := range fragments {
				if assembled != nil {
					t.Fatalf("the message was complete after fragment %d", i-1)
				}
				if assembled, err = a.Add(f.GetFragment()); err != nil {
					t.Fatal(err)
				}
			}
			if d := cmp.Diff(m, assembled, protocmp.Transform()); d != "" {
				t.Errorf("the reassembled message differs:\n%s", d)
			}
		})
	}
}

func TestSpoiledFragmentsAreRefused(t *testing.T) {
	var a Assembly
	m, err := a.Add(&Fragment{Data: bytes.Repeat([]byte{0xff}, 100), Last: true})
	if m != nil || fault.KindOf(err) != fault.Protocol {
		t.Fatalf("message %v, error %v", m, err)
	}
	fragments, err := Fragments(newMessage(2 * fragmentBytes))
	if err != nil {
		t.Fatal(err)
	}
	// The first fragment is missing; the next message must still be reassembled.
	if _, err := a.Add(fragments[len(fragments)-1].GetFragment()); fault.KindOf(err) != fault.Protocol {
		t.Fatalf("an incomplete message was accepted: %v", err)
	}
	var assembled *Envelope
	for _, f := range fragments {
		if assembled, err = a.Add(f.GetFragment()); err != nil {
			t.Fatal(err)
		}
	}
	if assembled == nil {
		t.Fatal("the message wasn't reassembled")
	}
}
