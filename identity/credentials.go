package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/settings"
)

// FileError reports a file that cannot be read or parsed. The settings name the
// file.
type FileError struct {
	// Path is the JSON path of the setting that names the file.
	Path string
	File string
	Err  error
}

// Error returns the setting, the cause and the file name on one line.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v (got %q)", e.Path, e.Err, e.File) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for invalid settings.
func (e *FileError) ExitCode() int { return exitcode.Usage }

// Credentials holds this side's certificate with its key, and the certificate
// authorities that verify the certificate of the other side. A nil *Credentials
// means plaintext.
type Credentials struct {
	certificate tls.Certificate
	// caPool is nil when the other side's certificate is not verified.
	caPool *x509.CertPool
}

// Load reads the files that a TLS section of the settings names. The path is the
// JSON path of the section, for error messages. Load returns nil when the section
// is empty.
func Load(path string, files settings.TLS) (*Credentials, error) {
	if !files.Enabled() {
		return nil, nil
	}
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return nil, &FileError{Path: path + ".certificate", File: files.Certificate, Err: err}
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return nil, &FileError{Path: path + ".key", File: files.Key, Err: err}
	}
	c := &Credentials{}
	if c.certificate, err = tls.X509KeyPair(certificate, key); err != nil {
		return nil, &FileError{Path: path + ".certificate", File: files.Certificate, Err: err}
	}
	if files.Authority == "" {
		return c, nil
	}
	c.caPool, err = loadCAPool(path, files.Authority)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// CallerServerConfig returns the TLS configuration of the listener for callers,
// nil for plaintext. When a certificate authority is configured, a caller may
// send a client certificate; an invalid one fails the handshake.
func (c *Credentials) CallerServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	config := &tls.Config{Certificates: []tls.Certificate{c.certificate}, MinVersion: tls.VersionTLS12}
	if c.caPool != nil {
		config.ClientCAs = c.caPool
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return config
}

// PeerServerConfig returns the TLS configuration of the listener for other
// daemons, nil for plaintext. Clients must send a valid certificate.
func (c *Credentials) PeerServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PeerDialer returns a function that connects to other daemons, with a timeout for
// the dialing of each connection. The function uses plaintext if c is nil. With TLS,
// the other daemon's certificate must contain the IP address that is dialed.
func (c *Credentials) PeerDialer(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	if c == nil {
		return dialer.DialContext
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.caPool,
		MinVersion:   tls.VersionTLS13,
	}}
	return tlsDialer.DialContext
}

// CallerDialer returns a function with which a caller connects to daemons, with a
// timeout for the dialing of each connection. The function uses TLS when files
// names a certificate authority, otherwise plaintext. With TLS it sends the
// certificate in files, if any, as client certificate. The path is the JSON path
// of files in the settings, for error messages.
func CallerDialer(path string, files settings.TLS, timeout time.Duration) (DialFunc, error) {
	dialer := &net.Dialer{Timeout: timeout}
	if files.Authority == "" {
		return dialer.DialContext, nil
	}
	caPool, err := loadCAPool(path, files.Authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: caPool, MinVersion: tls.VersionTLS12}
	if files.Certificate != "" {
		credentials, err := Load(path, files)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{credentials.certificate}
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext, nil
}

func loadCAPool(path, file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{Path: path + ".authority", File: file, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &FileError{Path: path + ".authority", File: file, Err: errNoCertificate}
	}
	return pool, nil
}

var errNoCertificate = errors.New("no certificate in PEM form")
