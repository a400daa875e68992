package identity

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// callerList is a CallerStore in which each caller's name is also its token and
// the subject name of its certificate.
type callerList []policy.Caller

func (l callerList) find(name string) (policy.Caller, bool) {
	for _, c := range l {
		if string(c.Name) == name {
			return c, true
		}
	}
	return policy.Caller{}, false
}

func (l callerList) CallerByToken(token string) (policy.Caller, bool)      { return l.find(token) }
func (l callerList) CallerByCertificate(name string) (policy.Caller, bool) { return l.find(name) }

func TestAuthenticateCaller(t *testing.T) {
	callers := callerList{{Name: "sorting-bench"}, {Name: "member-portal"}}
	for name, c := range map[string]struct {
		authorization []string
		commonName    string
		dnsNames      []string
		unverified    bool
		wantName      string
		wantRefused   bool
	}{
		"no credentials":                       {},
		"known token":                          {authorization: []string{"Bearer sorting-bench"}, wantName: "sorting-bench"},
		"scheme in lower case":                 {authorization: []string{"bearer sorting-bench"}, wantName: "sorting-bench"},
		"unknown token":                        {authorization: []string{"Bearer x"}, wantRefused: true},
		"empty token":                          {authorization: []string{"Bearer "}, wantRefused: true},
		"empty header":                         {authorization: []string{""}, wantRefused: true},
		"other scheme":                         {authorization: []string{"Basic sorting-bench"}, wantRefused: true},
		"two tokens":                           {authorization: []string{"Bearer sorting-bench", "Bearer member-portal"}, wantRefused: true},
		"known certificate":                    {commonName: "sorting-bench", wantName: "sorting-bench"},
		"known DNS name":                       {commonName: "x", dnsNames: []string{"member-portal"}, wantName: "member-portal"},
		"unknown certificate":                  {commonName: "x", wantRefused: true},
		"certificate not verified":             {commonName: "sorting-bench", unverified: true},
		"token and certificate of one caller":  {authorization: []string{"Bearer sorting-bench"}, commonName: "sorting-bench", wantName: "sorting-bench"},
		"token and certificate of two callers": {authorization: []string{"Bearer sorting-bench"}, commonName: "member-portal", wantRefused: true},
		"known token, unknown certificate":     {authorization: []string{"Bearer sorting-bench"}, commonName: "x", wantRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if c.authorization != nil {
				r.Header["Authorization"] = c.authorization
			}
			if c.commonName != "" {
				cert := &x509.Certificate{Subject: pkix.Name{CommonName: c.commonName}, DNSNames: c.dnsNames}
				r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}
				if !c.unverified {
					r.TLS.VerifiedChains = [][]*x509.Certificate{{cert}}
				}
			}
			got, ok := AuthenticateCaller(callers, r)
			require.Equal(t, !c.wantRefused, ok)
			require.Equal(t, c.wantName, string(got.Name))
		})
	}
}
