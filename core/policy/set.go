package policy

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Caller is a declared caller. The zero value is the anonymous caller.
type Caller struct {
	Name   model.CallerName
	Labels model.Labels
	// cacheIndex is the caller's index in Service.groupCache. The anonymous caller
	// has index 0.
	cacheIndex int
}

// Set is a compiled configuration. It is immutable.
type Set struct {
	services map[model.ServiceName]*Service
	// serviceByHost maps each host name, in lower case, to its service.
	serviceByHost map[string]model.ServiceName
	callers       map[model.CallerName]Caller
	// callerByToken maps the SHA-256 digest of each bearer token to its caller.
	callerByToken map[[sha256.Size]byte]Caller
	// callerByCertificate maps the subject name of each certificate to its caller.
	callerByCertificate map[string]Caller
	// policies is sorted by priority, highest first, then by name.
	policies []sharingPolicy
	// labelsByService holds the labels of each service.
	labelsByService map[model.ServiceName]model.Labels
	// evacuatedZones is sorted and holds each zone once.
	evacuatedZones []model.AvailabilityZone
}

// Service returns the service with the given name.
func (s *Set) Service(name model.ServiceName) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns the names of all services, sorted.
func (s *Set) Services() []model.ServiceName {
	names := make([]model.ServiceName, 0, len(s.services))
	for n := range s.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Callers returns the names of all callers, sorted.
func (s *Set) Callers() []model.CallerName {
	names := make([]model.CallerName, 0, len(s.callers))
	for n := range s.callers {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// ServiceByHost returns the service that a host belongs to. The host may include
// a port.
func (s *Set) ServiceByHost(host string) (model.ServiceName, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	n, ok := s.serviceByHost[strings.ToLower(host)]
	return n, ok
}

// CallerByName returns the caller with the given name.
func (s *Set) CallerByName(name model.CallerName) (Caller, bool) {
	c, ok := s.callers[name]
	return c, ok
}

// CallerByToken returns the caller that a bearer token belongs to.
func (s *Set) CallerByToken(token string) (Caller, bool) {
	c, ok := s.callerByToken[sha256.Sum256([]byte(token))]
	return c, ok
}

// CallerByCertificate returns the caller that a certificate subject name belongs
// to.
func (s *Set) CallerByCertificate(name string) (Caller, bool) {
	c, ok := s.callerByCertificate[name]
	return c, ok
}
