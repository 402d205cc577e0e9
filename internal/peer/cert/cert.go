// Package cert builds TLS configurations from settings. Instances have no
// disks, so every setting takes either PEM text or the path of a PEM file.
//
// # Usage
//
//	config, err := cert.Peers(cert.Settings{Cert: pem, Key: pem, CA: pem})
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Settings are a certificate with its key and the authority of the other
// side. Each is PEM text or the path of a PEM file.
type Settings struct {
	Cert string
	Key  string
	CA   string
}

// Empty reports whether TLS is off.
func (s Settings) Empty() bool {
	return s.Cert == "" && s.Key == "" && s.CA == ""
}

const pemStart = "-----BEGIN"

func load(name, value string) ([]byte, error) {
	if value == "" {
		return nil, fmt.Errorf("%s is missing", name)
	}
	if strings.Contains(value, pemStart) {
		return []byte(value), nil
	}
	return os.ReadFile(value)
}

func pair(s Settings) (tls.Certificate, error) {
	c, certErr := load("certificate", s.Cert)
	k, keyErr := load("key", s.Key)
	if err := errors.Join(certErr, keyErr); err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(c, k)
}

// Callers returns the configuration of the caller listener, nil where TLS is
// off.
func Callers(s Settings) (*tls.Config, error) {
	if s.Empty() {
		return nil, nil
	}
	p, err := pair(s)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{p}}, nil
}

// Peers returns the configuration between instances, for both ends of a
// connection, nil where TLS is off. Each end must show a certificate of the
// authority. Instances are replaced under any IP number, so that the
// certificate stands for the fleet and not for an address.
func Peers(s Settings) (*tls.Config, error) {
	if s.Empty() {
		return nil, nil
	}
	p, err := pair(s)
	if err != nil {
		return nil, err
	}
	ca, err := load("authority", s.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.New("authority: no certificate in PEM form")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		// The name is not checked; the chain is, in VerifyConnection.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verify(c, pool) },
	}, nil
}

func verify(c tls.ConnectionState, pool *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate")
	}
	middle := x509.NewCertPool()
	for _, m := range c.PeerCertificates[1:] {
		middle.AddCert(m)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: middle, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
