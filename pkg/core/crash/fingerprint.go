// Package crash finds the calls that crash the targets which run them. It does no I/O and reads no
// clock: its inputs are boxes' notes of crashes and answers with their times, its outputs are
// verdicts.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies a call by its content: two calls with the same fingerprint are the same
// request, sent again. Its parts are compared one after the other, so that a body is
// read only if all other parts are equal.
type Fingerprint struct {
	// Head is a digest of the method, the host and the path with its query.
	Head uint64
	// Body is a digest of the body.
	Body uint64
	// Caller is a digest of the caller's identity; zero matches any caller.
	Caller uint64
}

// AnyCaller returns the fingerprint that matches the same content from any caller.
func (f Fingerprint) AnyCaller() Fingerprint { return Fingerprint{Head: f.Head, Body: f.Body} }

func (f Fingerprint) isAnyCaller() bool { return f.Caller == 0 }

// Covers reports whether f matches every call with fingerprint x.
func (f Fingerprint) Covers(x Fingerprint) bool {
	return f.Head == x.Head && f.Body == x.Body && (f.Caller == 0 || f.Caller == x.Caller)
}

// Compare returns -1, 0 or +1 as f sorts before, equal to or after x.
func (f Fingerprint) Compare(x Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Head, x.Head), cmp.Compare(f.Body, x.Body), cmp.Compare(f.Caller, x.Caller))
}

// String returns the fingerprint in the form that logs and the admin API use.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x-%016x-%016x", f.Head, f.Body, f.Caller)
}

// ParseFingerprint is the inverse of String; ok is false for any other text.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	n, err := fmt.Sscanf(text, "%016x-%016x-%016x", &f.Head, &f.Body, &f.Caller)
	return f, err == nil && n == 3 && f.String() == text
}

// Identity computes the parts of a call's fingerprint on demand, since few calls
// ever need theirs. Caller is never zero.
type Identity interface {
	Head() uint64
	Body() uint64
	Caller() uint64
}

// FingerprintOf returns the fingerprint of a call with all of its parts.
func FingerprintOf(i Identity) Fingerprint {
	return Fingerprint{Head: i.Head(), Body: i.Body(), Caller: i.Caller()}
}

// Matches reports whether a fingerprint matches a call. It computes no more parts of the call's
// fingerprint than it has to.
func (f Fingerprint) Matches(i Identity) bool {
	return f.Head == i.Head() && f.Body == i.Body() && (f.Caller == 0 || f.Caller == i.Caller())
}

// Digest returns a 64-bit digest of the parts; it is never zero. Each part is prefixed with its
// length, so that moving bytes from one part to the next changes the digest. It uses a
// cryptographic hash because callers choose the input: with a hash for which collisions are easy to
// find, a caller could have the calls of others mistaken for its own.
func Digest(parts ...[]byte) uint64 {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	var sum [sha256.Size]byte
	return max(1, binary.BigEndian.Uint64(h.Sum(sum[:0])))
}
