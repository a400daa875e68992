// Package policy compiles configuration documents into the lookup tables that
// the data path needs: which service a host belongs to, which caller a token or
// certificate belongs to, and which group a caller belongs to at a service.
//
// # Concept
//
// A document declares a Service, a Caller or a SharingPolicy and has labels. A
// SharingPolicy selects services by the labels of the services, and divides
// callers into groups by the labels of the callers. Selectors use the syntax of
// Kubernetes label selectors, for example "role=sorter,hall in (a,b),!trial"; see
// Selector.
//
// When several policies select the same service, only the policy with the
// highest priority applies to it. Among policies of equal priority, the policy
// whose name sorts first applies. Within a policy, a caller belongs to the first
// group whose selector matches the caller's labels. If no selector matches, the
// caller belongs to the default group. Set.Explain reports which rule decided. The
// rules do not depend on the order of the documents, so all daemons choose the same
// policy and group.
//
// Two documents must not have the same kind and name. A host, token or certificate
// name must not belong to two documents. Compile reports these and all other problems
// at once, each with document, JSON path and value. It then returns no Set.
package policy
