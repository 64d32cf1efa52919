// Package apikey holds the keys by which callers show which workspace they belong to. Keys are
// secrets: only their digests are kept, compared and shown.
package apikey

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/madderpond/madderpond/pkg/fault"
)

// MaxLength is the most bytes that a key may have.
const MaxLength = 256

// displayedBytes is how much of a digest is shown: enough to tell keys apart, and of no use to
// whoever looks for a key.
const displayedBytes = 4

// textPrefix names the digest's algorithm in documents.
const textPrefix = "sha256:"

// Digest stands for a key. Keys have so much entropy that none is found by its digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest { return sha256.Sum256(key) }

// NewDigest returns the digest of a key that an operator has written. The error is an Invalid
// fault, which doesn't tell the key.
func NewDigest(key string) (Digest, error) {
	if !validKey([]byte(key)) {
		return Digest{}, fault.New(fault.Invalid, "write 1 to 256 visible characters of ASCII", "a key of %d bytes can't be read", len(key))
	}
	return DigestOf([]byte(key)), nil
}

// validKey tells whether a key may stand in a header as it is.
func validKey(key []byte) bool {
	if len(key) == 0 || len(key) > MaxLength {
		return false
	}
	return !bytes.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' })
}

// String returns the part of the digest that may be shown.
func (d Digest) String() string { return hex.EncodeToString(d[:displayedBytes]) }

// MarshalText writes the part of the digest that may be shown.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a whole digest, as in "sha256:" and 64 digits. The error is an Invalid
// fault.
func (d *Digest) UnmarshalText(text []byte) error {
	digits, named := strings.CutPrefix(string(text), textPrefix)
	if n, err := hex.Decode(d[:], []byte(digits[:min(len(digits), 2*len(d))])); !named || err != nil || n != len(d) || len(digits) != 2*len(d) {
		return fault.New(fault.Invalid, "write "+textPrefix+" and 64 hexadecimal digits; madderctl digest prints them", "the digest of a key can't be read")
	}
	return nil
}

// Text is the whole digest as documents have it.
func (d Digest) Text() string { return textPrefix + hex.EncodeToString(d[:]) }

// Compare orders digests.
func (d Digest) Compare(o Digest) int { return bytes.Compare(d[:], o[:]) }
