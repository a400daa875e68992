package policy

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// The defaults of the fields of ServiceSpec and SharingPolicySpec, and the largest length
// of the name of a document.
const (
	defaultTimeout            = 10 * time.Second
	defaultQueueBound         = 128
	defaultRetryShare         = 0.1
	defaultQuarantineCrashes  = 2
	defaultQuarantineDuration = 10 * time.Minute
	maxNameLength             = 253
)

// Compile checks the documents and builds a Set from them. When it finds problems,
// it returns all of them, sorted, and a nil Set.
func Compile(docs []Document) (*Set, []Problem) {
	c := &compiler{set: &Set{
		services:            make(map[model.ServiceName]*Service),
		serviceByHost:       make(map[string]model.ServiceName),
		callers:             make(map[model.CallerName]Caller),
		callerByToken:       make(map[[sha256.Size]byte]Caller),
		callerByCertificate: make(map[string]Caller),
		labelsByService:     make(map[model.ServiceName]model.Labels),
	}}
	sorted := slices.Clone(docs)
	slices.SortStableFunc(sorted, func(a, b Document) int { return cmp.Compare(a.Key(), b.Key()) })
	for i, doc := range sorted {
		if i > 0 && doc.Key() == sorted[i-1].Key() {
			c.addProblem(doc, "name", doc.Name, "declared more than once")
			continue
		}
		c.addDocument(doc)
	}
	c.assignPolicies()
	if len(c.problems) > 0 {
		return nil, sortProblems(c.problems)
	}
	for _, s := range c.set.services {
		s.groupCache = make([]atomic.Int32, len(c.set.callers)+1)
	}
	return c.set, nil
}

// compiler holds the Set under construction and the problems found so far.
type compiler struct {
	set      *Set
	problems []Problem
}

// addProblem records a problem with the value at the given JSON path of a document.
func (c *compiler) addProblem(d Document, path, value, message string) {
	c.problems = append(c.problems, Problem{Document: d.Key(), Path: path, Value: value, Message: message})
}

func (c *compiler) addDocument(d Document) {
	c.checkNameAndLabels(d)
	switch d.Kind {
	case KindService:
		c.addService(d)
	case KindCaller:
		c.addCaller(d)
	case KindSharingPolicy:
		c.addPolicy(d)
	case KindEvacuation:
		c.addEvacuation(d)
	default:
		c.addProblem(d, "kind", d.Kind, "unknown kind, want Service, Caller, SharingPolicy or Evacuation")
	}
}

func (c *compiler) checkNameAndLabels(d Document) {
	if d.Name == "" || len(d.Name) > maxNameLength || !validChars(d.Name) || strings.Contains(d.Name, "/") {
		c.addProblem(d, "name", d.Name, "want letters, digits and \"-_.\"")
	}
	for _, k := range sortedKeys(d.Labels) {
		if !validLabelKey(k) {
			c.addProblem(d, "labels", k, "not a label key: want letters, digits and \"-_./\"")
		}
		if !validLabelValue(d.Labels[k]) {
			c.addProblem(d, "labels."+k, d.Labels[k], "not a label value: want at most 63 letters, digits and \"-_./\"")
		}
	}
}

func (c *compiler) addService(d Document) {
	var spec ServiceSpec
	if !c.decode(d, &spec) {
		return
	}
	svc := &Service{
		Name:            model.ServiceName(d.Name),
		Timeout:         time.Duration(spec.Deadline),
		Routing:         spec.Routing,
		MeasuringBudget: spec.MeasuringBudget,
		RetryShare:      defaultRetryShare,
		Quarantine:      QuarantineSpec{Crashes: defaultQuarantineCrashes, Duration: Duration(defaultQuarantineDuration)},
		spec:            spec,
	}
	c.checkShare(d, "spec.measuring_budget", spec.MeasuringBudget)
	if spec.Routing != "" && !slices.Contains(routing.PolicyNames(), spec.Routing) {
		c.addProblem(d, "spec.routing", spec.Routing, "want one of "+strings.Join(routing.PolicyNames(), ", "))
	}
	if svc.Timeout < 0 {
		c.addProblem(d, "spec.deadline", svc.Timeout.String(), "must not be negative")
	}
	if svc.Timeout == 0 {
		svc.Timeout = defaultTimeout
	}
	c.set.services[svc.Name] = svc
	c.set.labelsByService[svc.Name] = d.Labels
	c.addHost(d, "name", d.Name)
	for i, h := range spec.Hosts {
		c.addHost(d, fmt.Sprintf("spec.hosts[%d]", i), h)
	}
}

// addHost maps a host to the service that the document declares. Case is ignored. path is
// the JSON path of the host in the document. addHost records a problem when the host is
// empty or already belongs to another service.
func (c *compiler) addHost(d Document, path, host string) {
	key := strings.ToLower(host)
	owner, taken := c.set.serviceByHost[key]
	switch {
	case key == "":
		c.addProblem(d, path, host, "must not be empty")
	case taken && owner != model.ServiceName(d.Name):
		c.addProblem(d, path, host, "already names service "+string(owner))
	default:
		c.set.serviceByHost[key] = model.ServiceName(d.Name)
	}
}

func (c *compiler) addCaller(d Document) {
	var spec CallerSpec
	if !c.decode(d, &spec) {
		return
	}
	caller := Caller{Name: model.CallerName(d.Name), Labels: d.Labels, cacheIndex: len(c.set.callers) + 1}
	c.set.callers[caller.Name] = caller
	for i, h := range spec.TokenSHA256 {
		path := fmt.Sprintf("spec.token_sha256[%d]", i)
		digest, err := hex.DecodeString(h)
		if err != nil || len(digest) != sha256.Size {
			c.addProblem(d, path, h, "want 64 hex digits")
			continue
		}
		key := [sha256.Size]byte(digest)
		if owner, taken := c.set.callerByToken[key]; taken && owner.Name != caller.Name {
			c.addProblem(d, path, h, "already belongs to caller "+string(owner.Name))
			continue
		}
		c.set.callerByToken[key] = caller
	}
	for i, name := range spec.CertificateNames {
		path := fmt.Sprintf("spec.certificate_names[%d]", i)
		owner, taken := c.set.callerByCertificate[name]
		switch {
		case name == "":
			c.addProblem(d, path, name, "must not be empty")
		case taken && owner.Name != caller.Name:
			c.addProblem(d, path, name, "already belongs to caller "+string(owner.Name))
		default:
			c.set.callerByCertificate[name] = caller
		}
	}
}

// checkShare records a problem when a value is not nil and not between 0 and 1.
func (c *compiler) checkShare(d Document, path string, v *float64) {
	if v != nil && !(*v >= 0 && *v <= 1) {
		c.addProblem(d, path, fmt.Sprint(*v), "want 0 to 1")
	}
}

// decode decodes the spec of a document into spec, a pointer to a struct. It reports
// false and records problems when the spec is missing or malformed.
func (c *compiler) decode(d Document, spec any) bool {
	problemsBefore := len(c.problems)
	if len(d.Spec) == 0 {
		c.addProblem(d, "spec", "nothing", "must be set")
		return false
	}
	strictChecker{report: func(path, value, message string) { c.addProblem(d, path, value, message) }}.
		check("spec", d.Spec, reflect.TypeOf(spec).Elem())
	if len(c.problems) > problemsBefore {
		return false
	}
	if err := json.Unmarshal(d.Spec, spec); err != nil {
		c.addProblem(d, "spec", oneLine(d.Spec), err.Error())
		return false
	}
	return true
}
