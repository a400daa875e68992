package account

// Standing says whether a request may still run under the account that an entry found for it.
type Standing uint8

// The possible values of a Standing.
const (
	// Valid means that the account still has the key of the request, or that no key is needed.
	Valid Standing = iota
	// Moved means that the key belongs to another account now.
	Moved
	// Removed means that no account has the key any more.
	Removed
)

// StandingOf returns the standing of a request that was found to be of the account of the given name
// by the key of a credential. Without accounts, that is on a nil Index, requests need no key.
func (x *Index) StandingOf(name Name, c Credential) Standing {
	if x == nil {
		return Valid
	}
	holder := x.holderByCredential[c]
	switch {
	case holder == nil:
		return Removed
	case holder.Name != name:
		return Moved
	default:
		return Valid
	}
}
