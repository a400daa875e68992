// Package identity authenticates callers and daemons.
//
// A caller authenticates itself with a bearer token, of which the configuration
// holds only the hash, or with a client certificate whose subject name the
// configuration lists. A caller without a token and a certificate is anonymous
// and has no labels. A caller with an unknown token or certificate is refused
// and not treated as anonymous, so that nobody is put into a group with a forged
// or outdated credential.
//
// Daemons authenticate each other by a shared secret and, when TLS is configured,
// also by certificates of one certificate authority. TLS is required on addresses
// other than loopback unless the settings allow plaintext. Credentials holds a
// certificate and its key, which are read from files once, at the start.
package identity
