// Package apikey implements the API keys that identify a caller's workspace. Keys are secrets: only
// their digests are stored, compared and displayed.
package apikey

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/madderpond/madderpond/pkg/fault"
)

// MaxLength is the maximum length of a key in bytes.
const MaxLength = 256

// displayedBytes is how many bytes of a digest are displayed: enough to tell keys apart, too few to
// help anyone find a key.
const displayedBytes = 4

// textPrefix identifies the digest's algorithm in documents.
const textPrefix = "sha256:"

// Digest is the SHA-256 digest of a key. Keys have enough entropy that none can be found from its digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest { return sha256.Sum256(key) }

// NewDigest returns the digest of a key that an operator entered. The error is an Invalid fault, which
// doesn't contain the key.
func NewDigest(key string) (Digest, error) {
	if !validKey([]byte(key)) {
		return Digest{}, fault.New(fault.Invalid, "write 1 to 256 visible characters of ASCII", "a key of %d bytes can't be read", len(key))
	}
	return DigestOf([]byte(key)), nil
}

// validKey reports whether a key can be sent in a header without encoding.
func validKey(key []byte) bool {
	if len(key) == 0 || len(key) > MaxLength {
		return false
	}
	return !bytes.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' })
}

// String returns the part of the digest that may be displayed.
func (d Digest) String() string { return hex.EncodeToString(d[:displayedBytes]) }

// MarshalText encodes only the part of the digest that may be displayed.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a whole digest: "sha256:" and 64 hexadecimal digits. The error is an Invalid
// fault.
func (d *Digest) UnmarshalText(text []byte) error {
	digits, named := strings.CutPrefix(string(text), textPrefix)
	if n, err := hex.Decode(d[:], []byte(digits[:min(len(digits), 2*len(d))])); !named || err != nil || n != len(d) || len(digits) != 2*len(d) {
		return fault.New(fault.Invalid, "write "+textPrefix+" and 64 hexadecimal digits; madderctl digest prints them", "the digest of a key is malformed")
	}
	return nil
}

// Text returns the whole digest in the format that UnmarshalText parses.
func (d Digest) Text() string { return textPrefix + hex.EncodeToString(d[:]) }

// Compare returns -1, 0 or 1, ordering digests by their bytes.
func (d Digest) Compare(o Digest) int { return bytes.Compare(d[:], o[:]) }
