package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/fault"
)

// EncodeCommand encodes a command for the replicated log. Large commands, mainly whole
// tables, are compressed, since each is sent to every replica and written to every disk.
// The error is an Internal fault.
func EncodeCommand(c *Command) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err == nil && len(data) >= compressThresholdBytes {
		data, err = compressCommand(data)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "a command can't be encoded")
	}
	return data, nil
}

func compressCommand(data []byte) ([]byte, error) {
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&Command{Kind: &Command_Compressed{Compressed: compressed}})
}

// DecodeCommand is the inverse of EncodeCommand. The error is a Damaged fault.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	err := proto.Unmarshal(data, c)
	if compressed := c.GetCompressed(); err == nil && compressed != nil {
		c, err = decompressCommand(compressed)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Damaged, "start this replica with an empty data folder", "a command can't be decoded")
	}
	return c, nil
}

func decompressCommand(compressed []byte) (*Command, error) {
	data, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	c := &Command{}
	return c, proto.Unmarshal(data, c)
}
