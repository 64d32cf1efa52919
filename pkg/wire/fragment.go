package wire

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/fault"
)

const (
	// fragmentFrom is the encoded size from which a message is compressed and divided.
	fragmentFrom = 1 << 10
	// fragmentBytes is the size of a fragment: a link of 1 Mbit/s takes 64 ms for it.
	fragmentBytes = 8 << 10
	// assembledBytes bounds what fragments may add up to once they are decompressed.
	assembledBytes = 64 << 20
)

// Fragments returns a message as it is best sent: itself if it is small, else its
// fragments in order. The error is an Internal fault.
func Fragments(m *Envelope) ([]*Envelope, error) {
	if proto.Size(m) < fragmentFrom {
		return []*Envelope{m}, nil
	}
	data, err := compress(m)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "a message can't be encoded")
	}
	var fragments []*Envelope
	for len(data) > 0 {
		size := min(len(data), fragmentBytes)
		fragment := &Fragment{Data: data[:size], Last: size == len(data)}
		fragments = append(fragments, &Envelope{Body: &Envelope_Fragment{Fragment: fragment}})
		data = data[size:]
	}
	return fragments, nil
}

// compressors are used again, since each holds several hundred KB.
var compressors = sync.Pool{New: func() any {
	// The level is one that the library knows, so there is no error.
	w, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return w
}}

func compress(m *Envelope) ([]byte, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Assembly puts fragments together again. The zero value is ready for the first one.
type Assembly struct{ data []byte }

// Add takes the next fragment. It returns the message with the last one, and nil before;
// the error is a Protocol fault, after which the assembly is empty.
func (a *Assembly) Add(f *Fragment) (*Envelope, error) {
	a.data = append(a.data, f.Data...)
	if len(a.data) > assembledBytes {
		a.data = nil
		return nil, fault.New(fault.Protocol, "let only madderpond's own processes connect to this port", "a message is too large")
	}
	if !f.Last {
		return nil, nil
	}
	data := a.data
	a.data = nil
	m, err := decompress(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "fragments don't make a message")
	}
	return m, nil
}

func decompress(data []byte) (*Envelope, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), assembledBytes))
	if err != nil {
		return nil, err
	}
	m := &Envelope{}
	return m, proto.Unmarshal(encoded, m)
}
