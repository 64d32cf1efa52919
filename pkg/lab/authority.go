package lab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates for the boxes of a lab cluster.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// File is the path of the authority's own certificate.
	File string
}

// certificateLifetime is how long a lab certificate is valid.
const certificateLifetime = 24 * time.Hour

// NewAuthority creates an authority that writes its files to a folder.
func NewAuthority(folder, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{folder: folder, key: key, File: filepath.Join(folder, name+".authority.pem")}
	a.certificate = certificateFor(name)
	a.certificate.IsCA = true
	a.certificate.BasicConstraintsValid = true
	a.certificate.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return a, writePEM(a.File, "CERTIFICATE", der)
}

func certificateFor(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// Sign issues a certificate for a box name and returns the paths of the certificate and its key.
func (a *Authority) Sign(box string) (certificate, key string, err error) {
	pair, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := certificateFor(box)
	template.DNSNames = []string{box}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &pair.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	secret, err := x509.MarshalECPrivateKey(pair)
	if err != nil {
		return "", "", err
	}
	certificate, key = filepath.Join(a.folder, box+".pem"), filepath.Join(a.folder, box+".key")
	if err := writePEM(certificate, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certificate, key, writePEM(key, "EC PRIVATE KEY", secret)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
