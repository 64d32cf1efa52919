package wire

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

const (
	// compressThresholdBytes is the encoded size from which messages and commands are compressed.
	compressThresholdBytes = 1 << 10
	// maxDecompressedBytes is the largest size that data may decompress to.
	maxDecompressedBytes = 64 << 20
)

// flateWriters pools the writers, since each holds several hundred KB.
var flateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return w
}}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompressed data exceeds %d bytes", maxDecompressedBytes)
	}
	return plain, nil
}
