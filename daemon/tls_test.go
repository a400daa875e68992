package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// certAuthority is a certificate authority that issues certificates for 127.0.0.1.
type certAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// certPath is the path of cert in PEM form.
	certPath string
}

func newCertAuthority(t *testing.T) *certAuthority {
	a := &certAuthority{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = newPrivateKey(t)
	der := createCertificate(t, template, template, a.key, a.key)
	a.cert, _ = x509.ParseCertificate(der)
	a.certPath = a.writePEM("authority.pem", "CERTIFICATE", der)
	return a
}

func newPrivateKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func createCertificate(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	require.NoError(t, err)
	return der
}

func (a *certAuthority) writePEM(fileName, blockType string, der []byte) string {
	path := filepath.Join(a.dir, fileName)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return path
}

// issue creates a certificate with the given common name. It returns settings with the
// paths of the certificate, of its key and of this authority's certificate.
func (a *certAuthority) issue(commonName string) settings.TLS {
	key := newPrivateKey(a.t)
	der := createCertificate(a.t, &x509.Certificate{
		Subject:     pkix.Name{CommonName: commonName},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert, key, a.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return settings.TLS{
		Certificate: a.writePEM(commonName+".pem", "CERTIFICATE", der),
		Key:         a.writePEM(commonName+".key", "EC PRIVATE KEY", keyDER),
		Authority:   a.certPath,
	}
}

// newHTTPClient returns an HTTP client that accepts server certificates of this authority.
// The client sends the certificate that clientCert names. If clientCert is empty, the client
// sends none.
func (a *certAuthority) newHTTPClient(clientCert settings.TLS) *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	config := &tls.Config{RootCAs: pool}
	if clientCert.Enabled() {
		cert, err := tls.LoadX509KeyPair(clientCert.Certificate, clientCert.Key)
		require.NoError(a.t, err)
		config.Certificates = []tls.Certificate{cert}
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	a.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// TestCallersAuthenticateByCertificate sends requests with and without client certificates.
// A known certificate name and no certificate must be accepted. An unknown name and a
// certificate of another authority must be refused.
func TestCallersAuthenticateByCertificate(t *testing.T) {
	trustedCA, untrustedCA := newCertAuthority(t), newCertAuthority(t)
	d := startSingleDaemon(t, func(s *settings.Settings) { s.Callers.TLS = trustedCA.issue("daemon") })
	url := "https://" + d.Nodes[0].Daemon.CallerAddress()
	requestStatus := func(clientCert settings.TLS) (int, error) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		require.NoError(t, err)
		req.Host = "returdesk.fyn"
		resp, err := trustedCA.newHTTPClient(clientCert).Do(req)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		require.Equal(t, 2, resp.ProtoMajor)
		return resp.StatusCode, nil
	}

	code, err := requestStatus(trustedCA.issue("sorter"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	code, err = requestStatus(settings.TLS{})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, "an anonymous caller gets the default group")
	code, err = requestStatus(trustedCA.issue("stranger"))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, code)
	plan := load.Plan{
		Targets:  []load.Target{{Address: d.Nodes[0].Daemon.CallerAddress()}},
		Duration: policy.Duration(200 * time.Millisecond),
		Sources:  []load.Source{{Service: "returdesk", Rate: 100, Verify: true}},
		TLS:      trustedCA.issue("sorter"),
	}
	require.NoError(t, plan.Check())
	res, err := load.Run(t.Context(), plan, load.Options{})
	require.NoError(t, err)
	require.Positive(t, res.Total.Answered)
	require.Equal(t, res.Total.Requests, res.Total.Answered)
	_, err = requestStatus(untrustedCA.issue("sorter"))
	require.Error(t, err, "a certificate of another authority must not be accepted")
}

// TestDaemonsAuthenticateEachOther runs two daemons with certificates for peers. They must
// forward requests to each other. A daemon must refuse a peer without a certificate. A peer
// with a certificate of another authority must refuse the certificate of the daemon.
func TestDaemonsAuthenticateEachOther(t *testing.T) {
	trustedCA, untrustedCA := newCertAuthority(t), newCertAuthority(t)
	zones := []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}
	d := startDeployment(t, zones, 2, func(s *settings.Settings) { s.Peers.TLS = trustedCA.issue(string(s.Zone)) })

	for range 20 {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.Nodes[0].Daemon.CallerAddress(), nil)
		require.NoError(t, err)
		req.Host = "returdesk.fyn"
		req.Header.Set("X-Request", "r")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	d.Nodes[0].Daemon.Guard.Drain("returdesk-1")
	req, err := http.NewRequest(http.MethodGet, "http://"+d.Nodes[0].Daemon.CallerAddress(), nil)
	require.NoError(t, err)
	req.Host = "returdesk.fyn"
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Positive(t, d.Nodes[1].Upstream.Runs()["r"]+d.Nodes[1].Upstream.Runs()[""], "one daemon must have forwarded a request to the other")

	peerAddress := string(d.Nodes[1].Daemon.ID())
	conn, err := tls.Dial("tcp", peerAddress, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		// In TLS 1.3 a client without the required certificate gets the error only
		// from its first read.
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "certificate required")
	untrustedPeer, err := identity.Load("peers.tls", untrustedCA.issue("stranger"))
	require.NoError(t, err)
	_, err = untrustedPeer.PeerDialer(waitLimit)(t.Context(), "tcp", peerAddress)
	require.ErrorContains(t, err, "unknown authority")
}

// TestUnusableFileIsNamedInTheError creates daemons with certificate files that are missing or
// do not fit together. The error must name the setting and the file or the fault.
func TestUnusableFileIsNamedInTheError(t *testing.T) {
	a := newCertAuthority(t)
	validTLS := a.issue("daemon")
	for name, c := range map[string]struct {
		files settings.TLS
		want  string
	}{
		"no certificate":             {settings.TLS{Certificate: "absent.pem", Key: validTLS.Key}, `callers.tls.certificate: open absent.pem: no such file or directory (got "absent.pem")`},
		"no key":                     {settings.TLS{Certificate: validTLS.Certificate, Key: "absent.key"}, `callers.tls.key: open absent.key: no such file or directory (got "absent.key")`},
		"no authority":               {settings.TLS{Certificate: validTLS.Certificate, Key: validTLS.Key, Authority: "absent"}, `callers.tls.authority: open absent: no such file or directory (got "absent")`},
		"key as authority":           {settings.TLS{Certificate: validTLS.Certificate, Key: validTLS.Key, Authority: validTLS.Key}, `callers.tls.authority: no certificate in PEM form`},
		"key of another certificate": {settings.TLS{Certificate: validTLS.Certificate, Key: a.issue("other").Key}, `callers.tls.certificate: tls: private key does not match public key`},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Defaults()
			s.Zone = "odense-hal-a"
			s.Log.Address = "127.0.0.1:1"
			s.Peers.Secret = "secret"
			s.Callers.TLS = c.files
			_, err := daemon.New(s, telemetry.NewLogger(os.Stderr, "text", 0))
			var fileErr *identity.FileError
			require.ErrorAs(t, err, &fileErr)
			require.ErrorContains(t, err, c.want)
		})
	}
}
