package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/rollout"
)

func TestEvidenceComesBackAsItWas(t *testing.T) {
	want := []rollout.Evidence{
		{Service: "s", Order: 7, Software: "v1", Route: "s/a", Successes: 12, Failures: 3, InFlight: 2},
		{Service: "s", Order: 7, Software: "v2", Route: "", Successes: 1},
	}
	want[0].Times[0], want[0].Times[9], want[1].Times[rollout.Buckets-1] = 2, 10, 1
	message := &RenewRequest{Evidence: FromEvidence(want)}
	raw, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &RenewRequest{}
	if err := proto.Unmarshal(raw, decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, ToEvidence(decoded.Evidence)); diff != "" {
		t.Fatal(diff)
	}
	t.Logf("two entries encode to %d bytes", len(raw))
}

func TestMoreBucketsThanKnownAreDropped(t *testing.T) {
	x := ToEvidence([]*VersionEvidence{{Times: make([]uint32, rollout.Buckets+5)}})
	if len(x) != 1 {
		t.Fatalf("%d entries", len(x))
	}
}
