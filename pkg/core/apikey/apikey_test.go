package apikey

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPresentedTakesOneReadableKey(t *testing.T) {
	tests := map[string]struct {
		values    []string
		presented bool
	}{
		"one":          {[]string{"akn2ftimaj3nr26tta82"}, true},
		"none":         {nil, false},
		"empty":        {[]string{""}, false},
		"doubled":      {[]string{"a", "a"}, false},
		"the longest":  {[]string{strings.Repeat("k", MaxLength)}, true},
		"overlong":     {[]string{strings.Repeat("k", MaxLength+1)}, false},
		"with a space": {[]string{"a b"}, false},
		"not ASCII":    {[]string{"schlüssel"}, false},
	}
	for name, x := range tests {
		var values [][]byte
		for _, v := range x.values {
			values = append(values, []byte(v))
		}
		c := CredentialFromHeader(values)
		d, presented := c.Digest()
		if presented != x.presented {
			t.Errorf("%s: presented is %v", name, presented)
		}
		if presented && d != DigestOf([]byte(x.values[0])) {
			t.Errorf("%s: the digest is another key's", name)
		}
	}
}

func TestDetachedCredentialOutlivesTheRequest(t *testing.T) {
	buffer := []byte("akn2ftimaj3nr26tta82")
	c := CredentialFromHeader([][]byte{buffer})
	want, _ := c.Digest()
	kept := c.Detached()
	copy(buffer, "another caller's key")
	if got, presented := kept.Digest(); !presented || got != want {
		t.Errorf("the digest is %s, %v", got, presented)
	}
	if none := (&Credential{}).Detached(); func() bool { _, presented := none.Digest(); return presented }() {
		t.Error("a call without a key presents one once it is detached")
	}
}

func TestDigestShowsAPrefixOnly(t *testing.T) {
	d, err := NewDigest("secret")
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(text); got != `"2bb80d53"` {
		t.Errorf("shown as %s", got)
	}
	var back Digest
	if err := back.UnmarshalText([]byte(d.Text())); err != nil || back != d {
		t.Errorf("read back as %s, %v", back.Text(), err)
	}
}

func TestErrorsDontTellKeys(t *testing.T) {
	secret := "not a key: " + strings.Repeat("s3cr3t", 3)
	_, err := NewDigest(secret)
	var d Digest
	for _, err := range []error{err, d.UnmarshalText([]byte(secret)), d.UnmarshalText([]byte(textPrefix + "zz"))} {
		if err == nil || strings.Contains(err.Error(), "s3cr3t") {
			t.Errorf("the error is %v", err)
		}
	}
}

func TestDigestOrder(t *testing.T) {
	a, b := Digest{1}, Digest{2}
	if diff := cmp.Diff([]int{-1, 0, 1}, []int{a.Compare(b), a.Compare(a), b.Compare(a)}); diff != "" {
		t.Error(diff)
	}
}
