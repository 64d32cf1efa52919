package response

import (
	"bytes"
	"strings"
)

// checkFields checks the lines of a head or of a trailer section, up to the empty one. The name of a field is a token
// directly before the colon. RFC 9112 lets a proxy mend a blank before the colon and a folded line, but a target that sends
// one may mean another field than the proxy reads.
func checkFields(block []byte) error {
	for line := range bytes.SplitSeq(block, lineEnd) {
		if len(line) == 0 {
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
	return nil
}

func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return malformed("field line %.40q has no colon", line)
	}
	if !isToken(name) {
		return malformed("field name %.40q", name)
	}
	if !isText(value) {
		return malformed("value of field %.40q has a control byte", name)
	}
	return nil
}

// hasField reports whether a checked block has a field of a name.
func hasField(block []byte, name string) bool {
	for line := range bytes.SplitSeq(block, lineEnd) {
		if field, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}

// isToken reports whether a name is a token (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

var tokenBytes = func() (isTokenByte [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		isTokenByte[c] = true
	}
	return isTokenByte
}()

// isText reports whether a reason or a value has no control bytes but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
