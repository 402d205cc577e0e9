// Package cert builds TLS configurations from settings. Each setting is either PEM
// text or the path of a PEM file, because instances have no disks.
//
// # Usage
//
//	config, err := cert.PeerConfig(cert.Settings{Cert: certPEM, Key: keyPEM, CA: caPEM})
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Settings are a certificate, its private key, and the certificate authority that
// the certificate of the other side is verified against. Each is PEM text or the
// path of a PEM file.
type Settings struct {
	Cert string
	Key  string
	CA   string
}

// Empty reports whether nothing is set, which means that TLS is not used.
func (s Settings) Empty() bool {
	return s.Cert == "" && s.Key == "" && s.CA == ""
}

// pemHeader distinguishes PEM text from the path of a file.
const pemHeader = "-----BEGIN"

func readPEM(name, value string) ([]byte, error) {
	if value == "" {
		return nil, fmt.Errorf("the %s is not set", name)
	}
	if strings.Contains(value, pemHeader) {
		return []byte(value), nil
	}
	return os.ReadFile(value)
}

func keyPair(s Settings) (tls.Certificate, error) {
	certPEM, certErr := readPEM("certificate", s.Cert)
	keyPEM, keyErr := readPEM("private key", s.Key)
	if err := errors.Join(certErr, keyErr); err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(certPEM, keyPEM)
}

// CallerConfig returns the TLS configuration of the listener for callers, or nil if s
// is empty. It does not use the authority.
func CallerConfig(s Settings) (*tls.Config, error) {
	if s.Empty() {
		return nil, nil
	}
	p, err := keyPair(s)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{p}}, nil
}

// PeerConfig returns the TLS configuration of connections between instances, for
// both sides, or nil if s is empty. Each side must present a certificate that the
// authority has issued. The name in the certificate is not verified, because a new
// instance can have any IP address. The certificate identifies a member of the fleet,
// not an address.
func PeerConfig(s Settings) (*tls.Config, error) {
	if s.Empty() {
		return nil, nil
	}
	p, err := keyPair(s)
	if err != nil {
		return nil, err
	}
	caPEM, err := readPEM("CA certificate", s.CA)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("no PEM certificate found in the CA certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
		// This disables the verification of both the name and the chain.
		// VerifyConnection verifies the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verifyChain(c, roots) },
	}, nil
}

func verifyChain(c tls.ConnectionState, roots *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range c.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
