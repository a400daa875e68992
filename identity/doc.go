// Package identity authenticates callers and daemons.
//
// A caller authenticates itself with a bearer token or with a client certificate.
// The configuration holds only the hash of a token, and lists the subject names of
// certificates. A caller with neither token nor certificate is anonymous and has
// no labels; labels sort callers into groups. A caller with an unknown token or
// certificate is refused; it is not treated as anonymous. So nobody gets into a
// group by a forged or outdated credential.
//
// Daemons authenticate each other by a shared secret and, when TLS is configured,
// also by certificates of one certificate authority. TLS is required on addresses
// other than loopback unless the settings allow plaintext. Credentials holds a
// certificate and its key, which are read from files once, at the start.
package identity
