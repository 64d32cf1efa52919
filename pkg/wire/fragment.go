package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/fault"
)

// fragmentBytes is the size of a fragment: a link of 1 Mbit/s transfers it in 64 ms.
const fragmentBytes = 8 << 10

// Fragments returns the messages to send in place of a message: itself if it is small, else
// its compressed fragments in order. The error is an Internal fault.
func Fragments(m *Envelope) ([]*Envelope, error) {
	if proto.Size(m) < compressThresholdBytes {
		return []*Envelope{m}, nil
	}
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, encodeError(err)
	}
	data, err := compress(encoded)
	if err != nil {
		return nil, encodeError(err)
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

func encodeError(err error) error {
	return fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "a message can't be encoded")
}

// Assembly reassembles a message from its fragments. The zero value is ready for the first one.
type Assembly struct{ data []byte }

// Add appends the next fragment. It returns the message once it is complete, and nil before.
// The error is a Protocol fault; after an error the assembly is empty.
func (a *Assembly) Add(f *Fragment) (*Envelope, error) {
	a.data = append(a.data, f.Data...)
	if len(a.data) > maxDecompressedBytes {
		a.data = nil
		return nil, fault.New(fault.Protocol, "let only madderpond's own processes connect to this port", "a message is too large")
	}
	if !f.Last {
		return nil, nil
	}
	data := a.data
	a.data = nil
	m, err := assemble(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "the fragments of a message can't be decoded")
	}
	return m, nil
}

func assemble(data []byte) (*Envelope, error) {
	encoded, err := decompress(data)
	if err != nil {
		return nil, err
	}
	m := &Envelope{}
	return m, proto.Unmarshal(encoded, m)
}
