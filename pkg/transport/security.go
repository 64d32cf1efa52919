package transport

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Security authenticates processes to each other with mutual TLS, by certificates of
// one authority. Each certificate names the boxes that may present it. A nil Security
// uses plain TCP, for a network that only madderpond's boxes can reach.
type Security struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadSecurity reads a process's certificate, its key and the authority's
// certificate from PEM files. The error is a Settings fault.
func LoadSecurity(certificate, key, authority string) (*Security, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "name a certificate in PEM and the key that belongs to it", "peer.certificate or peer.key can't be used")
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "name the authority's certificate in PEM", "peer.authority can't be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New(fault.Settings, "name the authority's certificate in PEM", "peer.authority holds no certificate")
	}
	return &Security{certificate: pair, authority: pool}, nil
}

// tlsConfig is the same on both sides: each presents its certificate and verifies the
// peer's. Names are compared with the hello's, not with addresses, since boxes connect
// to each other by IP address.
func (s *Security) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authority,
		ClientCAs:    s.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// verify checks the certificate chain; there is no host name to compare.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Security) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "set peer.certificate on both sides", "the peer presents no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return fault.Wrap(err, fault.Unauthorized, "have the same authority sign both sides' certificates", "the peer's certificate isn't trusted")
}

// wrapClient wraps a connection that this process has dialed.
func (s *Security) wrapClient(raw net.Conn) net.Conn {
	if s == nil {
		return raw
	}
	return tls.Client(raw, s.tlsConfig())
}

// wrapServer wraps a connection that this process has accepted.
func (s *Security) wrapServer(raw net.Conn) net.Conn {
	if s == nil {
		return raw
	}
	return tls.Server(raw, s.tlsConfig())
}

// acceptHello returns the hello in the first message of a connection, once it is verified. Errors are
// of kind Protocol or Unauthorized.
func (s *Security) acceptHello(conn net.Conn, m *wire.Envelope) (*wire.Hello, error) {
	hello := m.GetHello()
	if hello == nil || hello.Protocol != protocolVersion {
		return nil, fault.New(fault.Protocol, "run the same version of madderpond on both sides", "the first message is not a hello of protocol version %d", protocolVersion)
	}
	return hello, s.verifyName(conn, hello)
}

// verifyName verifies that the peer's certificate contains the replica name in its hello or,
// without one, the box name. The error is an Unauthorized fault.
func (s *Security) verifyName(conn net.Conn, hello *wire.Hello) error {
	if s == nil {
		return nil
	}
	name := hello.Box
	if hello.Replica != "" {
		name = hello.Replica
	}
	state := conn.(*tls.Conn).ConnectionState()
	if len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, name) {
		return nil
	}
	return fault.New(fault.Unauthorized, "sign a certificate that names this box", "the peer identifies itself as %s, which its certificate doesn't contain", name)
}
