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

// FileError tells which file of the settings cannot be used.
type FileError struct {
	// Path is the JSON path of the file's name in the settings.
	Path string
	File string
	Err  error
}

// Error names the setting, the file and the reason.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v (got %q)", e.Path, e.Err, e.File) }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// ExitCode makes the process exit as for wrong settings.
func (e *FileError) ExitCode() int { return exitcode.Usage }

// Material is a certificate with its key and the authority that verifies the
// other side.
type Material struct {
	certificate tls.Certificate
	// authority is nil when the other side is not verified.
	authority *x509.CertPool
}

// Load reads the files of a TLS section found at a JSON path. Without TLS in
// the settings it returns nil.
func Load(path string, files settings.TLS) (*Material, error) {
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
	m := &Material{}
	if m.certificate, err = tls.X509KeyPair(certificate, key); err != nil {
		return nil, &FileError{Path: path + ".certificate", File: files.Certificate, Err: err}
	}
	if files.Authority == "" {
		return m, nil
	}
	m.authority, err = loadAuthority(path, files.Authority)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// CallerServer returns the TLS configuration of the callers' address, nil for
// plaintext. With an authority a caller may bring a certificate, which must
// then be valid.
func (m *Material) CallerServer() *tls.Config {
	if m == nil {
		return nil
	}
	c := &tls.Config{Certificates: []tls.Certificate{m.certificate}, MinVersion: tls.VersionTLS12}
	if m.authority != nil {
		c.ClientCAs = m.authority
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return c
}

// PeerServer returns the TLS configuration of the peers' address, nil for
// plaintext. A daemon must bring a valid certificate.
func (m *Material) PeerServer() *tls.Config {
	if m == nil {
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{m.certificate},
		ClientCAs:    m.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// PeerDial returns how to connect to other daemons, within the timeout. The
// other daemon's certificate must hold its IP number.
func (m *Material) PeerDial(timeout time.Duration) Dial {
	dialer := &net.Dialer{Timeout: timeout}
	if m == nil {
		return dialer.DialContext
	}
	secure := &tls.Dialer{NetDialer: dialer, Config: &tls.Config{
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		MinVersion:   tls.VersionTLS13,
	}}
	return secure.DialContext
}

// CallerDialer returns how a caller connects to daemons, within the timeout: by
// TLS when the section found at a JSON path names an authority. A certificate
// in it proves the caller.
func CallerDialer(path string, files settings.TLS, timeout time.Duration) (Dial, error) {
	dialer := &net.Dialer{Timeout: timeout}
	if files.Authority == "" {
		return dialer.DialContext, nil
	}
	authority, err := loadAuthority(path, files.Authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: authority, MinVersion: tls.VersionTLS12}
	if files.Certificate != "" {
		m, err := Load(path, files)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{m.certificate}
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext, nil
}

func loadAuthority(path, file string) (*x509.CertPool, error) {
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
