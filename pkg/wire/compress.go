package wire

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

const (
	// compressFrom is the encoded size from which a message is worth compressing.
	compressFrom = 1 << 10
	// decompressedBytes bounds what compressed data may come to.
	decompressedBytes = 64 << 20
)

// compressors are used again, since each holds several hundred KB.
var compressors = sync.Pool{New: func() any {
	// The level is one that the library knows, so there is no error.
	w, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return w
}}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
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
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), decompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > decompressedBytes {
		return nil, fmt.Errorf("compressed data comes to more than %d bytes", decompressedBytes)
	}
	return plain, nil
}
