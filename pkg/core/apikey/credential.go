package apikey

// Credential is what a call presents to be let in. The digest of its key is worked out only
// where one is needed.
type Credential struct {
	// key is as long as the request lives; digest stands for it once digested is set.
	key      []byte
	digest   Digest
	digested bool
}

// CredentialFromHeader returns the credential of a call with the given values of the key's header. A call
// with several values presents nothing: each reader might take another one.
func CredentialFromHeader(values [][]byte) Credential {
	if len(values) != 1 || !validKey(values[0]) {
		return Credential{}
	}
	return Credential{key: values[0]}
}

// Digest returns the digest of the key, and whether the call presents one.
func (c *Credential) Digest() (Digest, bool) {
	if c.digested {
		return c.digest, true
	}
	if len(c.key) == 0 {
		return Digest{}, false
	}
	return DigestOf(c.key), true
}

// Detached returns a credential that outlives the request.
func (c *Credential) Detached() Credential {
	d, presented := c.Digest()
	return Credential{digest: d, digested: presented}
}
