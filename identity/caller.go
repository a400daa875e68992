package identity

import (
	"crypto/x509"
	"net/http"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// CallerStore looks up callers by their credentials. Its methods report false if
// there is no such caller.
type CallerStore interface {
	// CallerByToken returns the caller to which a bearer token was issued.
	CallerByToken(token string) (policy.Caller, bool)
	// CallerByCertificate returns the caller for which a subject name of a client
	// certificate is configured.
	CallerByCertificate(name string) (policy.Caller, bool)
}

const bearerPrefix = "bearer "

// AuthenticateCaller returns the caller of a request. The zero Caller is an
// anonymous one. AuthenticateCaller reports false in three cases: the token or
// certificate is unknown, the Authorization header is malformed, or token and
// certificate belong to different callers.
func AuthenticateCaller(callers CallerStore, r *http.Request) (policy.Caller, bool) {
	certificateCaller, hasCertificate, ok := callerByCertificate(callers, r)
	if !ok {
		return policy.Caller{}, false
	}
	authorization := r.Header["Authorization"]
	if len(authorization) == 0 {
		return certificateCaller, true
	}
	if len(authorization) > 1 || len(authorization[0]) < len(bearerPrefix) || !strings.EqualFold(authorization[0][:len(bearerPrefix)], bearerPrefix) {
		return policy.Caller{}, false
	}
	tokenCaller, ok := callers.CallerByToken(authorization[0][len(bearerPrefix):])
	if !ok || hasCertificate && tokenCaller.Name != certificateCaller.Name {
		return policy.Caller{}, false
	}
	return tokenCaller, true
}

// callerByCertificate returns the caller to which the verified client certificate
// of a request belongs. hasCertificate tells whether the request has such a
// certificate. ok is false only when it has one that belongs to no caller.
func callerByCertificate(callers CallerStore, r *http.Request) (c policy.Caller, hasCertificate, ok bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return policy.Caller{}, false, true
	}
	for _, name := range subjectNames(r.TLS.VerifiedChains[0][0]) {
		if c, ok := callers.CallerByCertificate(name); ok {
			return c, true, true
		}
	}
	return policy.Caller{}, true, false
}

// subjectNames returns the common name of a certificate, then its DNS names and
// URIs.
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
