package wire

import (
	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func fromWorkspace(w table.Workspace) *Workspace {
	return &Workspace{
		Name: string(w.Name), Priority: int32(w.Priority), Ranked: w.Ranked, Rate: float64(w.Rate), Burst: w.Burst,
		Keys: mapSlice(w.Keys, func(d apikey.Digest) []byte { return d[:] }),
	}
}

func toWorkspace(w *Workspace) table.Workspace {
	return table.Workspace{
		Name: units.WorkspaceName(w.Name), Priority: int(w.Priority), Ranked: w.Ranked, Rate: units.CallRate(w.Rate), Burst: w.Burst,
		Keys: mapSlice(w.Keys, toDigest),
	}
}

// toDigest converts a digest. One of the wrong length becomes the zero digest, which matches no key.
func toDigest(data []byte) apikey.Digest {
	var d apikey.Digest
	if len(data) == len(d) {
		copy(d[:], data)
	}
	return d
}
