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
		want          string
		refused       bool
	}{
		"no credentials":                       {},
		"known token":                          {authorization: []string{"Bearer sorting-bench"}, want: "sorting-bench"},
		"scheme in lower case":                 {authorization: []string{"bearer sorting-bench"}, want: "sorting-bench"},
		"unknown token":                        {authorization: []string{"Bearer x"}, refused: true},
		"empty token":                          {authorization: []string{"Bearer "}, refused: true},
		"empty header":                         {authorization: []string{""}, refused: true},
		"other scheme":                         {authorization: []string{"Basic sorting-bench"}, refused: true},
		"two tokens":                           {authorization: []string{"Bearer sorting-bench", "Bearer member-portal"}, refused: true},
		"known certificate":                    {commonName: "sorting-bench", want: "sorting-bench"},
		"known DNS name":                       {commonName: "x", dnsNames: []string{"member-portal"}, want: "member-portal"},
		"unknown certificate":                  {commonName: "x", refused: true},
		"certificate not verified":             {commonName: "sorting-bench", unverified: true},
		"token and certificate of one caller":  {authorization: []string{"Bearer sorting-bench"}, commonName: "sorting-bench", want: "sorting-bench"},
		"token and certificate of two callers": {authorization: []string{"Bearer sorting-bench"}, commonName: "member-portal", refused: true},
		"known token, unknown certificate":     {authorization: []string{"Bearer sorting-bench"}, commonName: "x", refused: true},
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
			require.Equal(t, !c.refused, ok)
			require.Equal(t, c.want, string(got.Name))
		})
	}
}
