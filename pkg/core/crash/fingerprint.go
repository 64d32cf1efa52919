// Package crash finds the calls that crash the targets which run them. It is pure: boxes'
// notes of crashes and answers come in with their times, verdicts go out.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint tells calls apart by their content: two calls of one fingerprint are the same
// request, sent again. Its parts are compared one after the other, so that a body is
// read only where all else is alike.
type Fingerprint struct {
	// Head is a digest of the method, the host and the path with its query.
	Head uint64
	// Body is a digest of the body.
	Body uint64
	// Caller is a digest of who calls; zero stands for any caller.
	Caller uint64
}

// AnyCaller returns the fingerprint of the same content, whoever calls.
func (f Fingerprint) AnyCaller() Fingerprint { return Fingerprint{Head: f.Head, Body: f.Body} }

func (f Fingerprint) isAnyCaller() bool { return f.Caller == 0 }

// Covers tells whether a call of fingerprint x is one that f stands for.
func (f Fingerprint) Covers(x Fingerprint) bool {
	return f.Head == x.Head && f.Body == x.Body && (f.Caller == 0 || f.Caller == x.Caller)
}

// Compare orders fingerprints.
func (f Fingerprint) Compare(x Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Head, x.Head), cmp.Compare(f.Body, x.Body), cmp.Compare(f.Caller, x.Caller))
}

// String returns the fingerprint as logs and operators see it.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x-%016x-%016x", f.Head, f.Body, f.Caller)
}

// ParseFingerprint is the inverse of String; ok is false for any other text.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	n, err := fmt.Sscanf(text, "%016x-%016x-%016x", &f.Head, &f.Body, &f.Caller)
	return f, err == nil && n == 3 && f.String() == text
}

// Identity works out the parts of a call's fingerprint when they are asked for: few calls
// ever need theirs. Caller is never zero.
type Identity interface {
	Head() uint64
	Body() uint64
	Caller() uint64
}

// FingerprintOf returns the whole fingerprint of a call.
func FingerprintOf(i Identity) Fingerprint {
	return Fingerprint{Head: i.Head(), Body: i.Body(), Caller: i.Caller()}
}

// Matches tells whether a fingerprint stands for a call. It reads no more of the call than it
// has to.
func (f Fingerprint) Matches(i Identity) bool {
	return f.Head == i.Head() && f.Body == i.Body() && (f.Caller == 0 || f.Caller == i.Caller())
}

// Digest sums up parts, none of which can pass for a piece of another; it is never zero.
// Callers choose what is digested, so it is a sum for which nobody can find two inputs alike:
// with a weaker one a caller could have the calls of others taken for its own.
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
