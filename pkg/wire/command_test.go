package wire

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/madderpond/madderpond/pkg/fault"
)

func TestCommandsComeOutAsTheyWentIn(t *testing.T) {
	route := []byte(`{"host":"h","prefix":"/p/"}`)
	scenarios := []struct {
		testName string
		source   []byte
		maxBytes int
	}{
		{"a small one as it is", route, 100},
		{"a large one compressed", bytes.Repeat(route, 500), 1000},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := &Command{Origin: "r/1", Number: 7, Kind: &Command_Document{Document: &Document{Version: 3, Source: s.source}}}
			data, err := EncodeCommand(c)
			if err != nil {
				t.Fatal(err)
			}
			if len(data) > s.maxBytes {
				t.Errorf("encoded %d bytes for a source of %d", len(data), len(s.source))
			}
			decoded, err := DecodeCommand(data)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(c, decoded, protocmp.Transform()); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestASpoiledCommandIsDamage(t *testing.T) {
	corrupt, err := compressCommand([]byte("no command"))
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{0xff}, corrupt} {
		if _, err := DecodeCommand(data); fault.KindOf(err) != fault.Damaged {
			t.Errorf("%x gives %v", data, err)
		}
	}
}
