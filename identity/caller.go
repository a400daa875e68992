package identity

import (
	"crypto/x509"
	"net/http"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Directory finds callers by what they prove.
type Directory interface {
	// CallerByToken returns the caller that holds a bearer token.
	CallerByToken(token string) (policy.Caller, bool)
	// CallerByCertificate returns the caller with a certificate subject name.
	CallerByCertificate(name string) (policy.Caller, bool)
}

const bearer = "bearer "

// AuthenticateCaller identifies the caller of a request. It reports false when a proof is
// unknown or malformed, or when a token and a certificate name two callers.
func AuthenticateCaller(known Directory, r *http.Request) (policy.Caller, bool) {
	byCertificate, hasCertificate, ok := certified(known, r)
	if !ok {
		return policy.Caller{}, false
	}
	auth := r.Header["Authorization"]
	if len(auth) == 0 {
		return byCertificate, true
	}
	if len(auth) > 1 || len(auth[0]) < len(bearer) || !strings.EqualFold(auth[0][:len(bearer)], bearer) {
		return policy.Caller{}, false
	}
	byToken, ok := known.CallerByToken(auth[0][len(bearer):])
	if !ok || hasCertificate && byToken.Name != byCertificate.Name {
		return policy.Caller{}, false
	}
	return byToken, true
}

// certified identifies the caller by its verified certificate. Without one the
// caller is anonymous.
func certified(known Directory, r *http.Request) (c policy.Caller, has, ok bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return policy.Caller{}, false, true
	}
	for _, name := range subjectNames(r.TLS.VerifiedChains[0][0]) {
		if c, ok := known.CallerByCertificate(name); ok {
			return c, true, true
		}
	}
	return policy.Caller{}, true, false
}

// subjectNames returns the common name, then the DNS names and URIs.
func subjectNames(cert *x509.Certificate) []string {
	names := make([]string, 0, 1+len(cert.DNSNames)+len(cert.URIs))
	if cert.Subject.CommonName != "" {
		names = append(names, cert.Subject.CommonName)
	}
	names = append(names, cert.DNSNames...)
	for _, u := range cert.URIs {
		names = append(names, u.String())
	}
	return names
}
