package apikey

// Credential is the key that a call presents, if any. Digest hashes the key on each call; only a
// detached copy stores its digest.
type Credential struct {
	// key refers to the request's buffer and is valid only during the request. A detached copy has
	// no key; if a key was presented, it has digested set and the key's digest instead.
	key      []byte
	digest   Digest
	digested bool
}

// CredentialFromHeader returns the credential of a call, given the values of the key's header. A call
// with an invalid value presents no key. Neither does one with several values, since a proxy or a
// target that handles the call might read a different one of them.
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

// Detached returns a copy of the credential that stays valid after the request.
func (c *Credential) Detached() Credential {
	d, presented := c.Digest()
	return Credential{digest: d, digested: presented}
}
