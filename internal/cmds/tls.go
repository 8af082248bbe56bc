package cmds

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"dogwoodfold/internal/strict"
)

// TLSFiles names the PEM files for mutual TLS between processes. Either all three
// files or none must be set.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// check adds an error if some of the files are set and others aren't.
func (f *TLSFiles) check(fieldErrs *strict.FieldErrors) {
	count := 0
	for _, file := range []string{f.Certificate, f.Key, f.Authority} {
		if file != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		fieldErrs.Add("tls", "certificate, key and authority must be set together or not at all")
	}
}

// tlsConfig returns the configuration for mutual TLS, or nil if no files are set.
// Peers must present a certificate signed by the authority. The name in it isn't
// verified, because processes reach each other by IP addresses that change.
func (f *TLSFiles) tlsConfig() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	authorityPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("no PEM certificate found in " + f.Authority)
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              roots,
		InsecureSkipVerify:     true, // VerifyConnection verifies the certificate chain instead
		VerifyConnection:       verifyChain(roots),
		SessionTicketsDisabled: true,
	}, nil
}

// verifyChain returns a function that verifies that the peer's certificate chains
// to one of the roots.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
