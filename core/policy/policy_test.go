package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// newDocument returns a document with labels in the form "key=value,key=value".
func newDocument(kind, name, labels, spec string) Document {
	d := Document{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
	if labels != "" {
		d.Labels = make(model.Labels)
		for pair := range strings.SplitSeq(labels, ",") {
			k, v, _ := strings.Cut(pair, "=")
			d.Labels[k] = v
		}
	}
	return d
}

// exampleDocuments returns a small valid configuration with two services, two
// callers and two sharing policies. Both policies select "sporarkiv".
func exampleDocuments() []Document {
	return []Document{
		newDocument(KindService, "returdesk", "mesh=fyn", `{"hosts":["returdesk.fyn"],"deadline":"2s","non_idempotent":[{"path_prefix":"/release"}]}`),
		newDocument(KindService, "sporarkiv", "mesh=fyn,tier=archive", `{}`),
		newDocument(KindCaller, "bench", "role=sorter,hall=a", `{"token_sha256":["`+strings.Repeat("ab", 32)+`"]}`),
		newDocument(KindCaller, "audit", "role=check", `{}`),
		newDocument(KindSharingPolicy, "fyn", "", `{"services":"mesh=fyn","default_group":"checks","retry_share":0.2,
			"deadline_classes":{"bench":"500ms"},"groups":[
			{"name":"sorters","callers":"role=sorter","weight":8,"deadline_class":"bench"},
			{"name":"checks","callers":"","weight":1}]}`),
		newDocument(KindSharingPolicy, "archive", "", `{"services":"tier=archive","priority":1,"groups":[
			{"name":"all","callers":"role","weight":1,"rate_per_second":5,"concurrency":3}]}`),
	}
}

// TestCompileResolvesOverlapsIndependentlyOfOrder compiles the example documents in random
// orders. Each time, the same policy and group must apply.
func TestCompileResolvesOverlapsIndependentlyOfOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		docs := exampleDocuments()
		rng.Shuffle(len(docs), func(i, j int) { docs[i], docs[j] = docs[j], docs[i] })
		set, problems := Compile(docs)
		require.Empty(t, problems)
		returdesk, _ := set.Service("returdesk")
		sporarkiv, _ := set.Service("sporarkiv")
		require.Equal(t, "fyn", returdesk.Policy)
		require.Equal(t, "archive", sporarkiv.Policy, "the policy with the higher priority applies")
		bench, _ := set.CallerByName("bench")
		group, ok := returdesk.GroupOf(bench)
		require.True(t, ok)
		require.EqualValues(t, "sorters", group)
		group, _ = returdesk.GroupOf(Caller{})
		require.EqualValues(t, "checks", group, "the default group")
		_, ok = sporarkiv.GroupOf(Caller{})
		require.False(t, ok, "no default group")
		require.Equal(t, 500*time.Millisecond, returdesk.TimeoutOf("sorters"))
		require.Equal(t, 2*time.Second, returdesk.TimeoutOf("checks"))
		require.Equal(t, 0.2, returdesk.RetryShare)
		require.Equal(t, defaultRetryShare, sporarkiv.RetryShare)
		require.Equal(t, QuarantineSpec{Crashes: 2, Duration: Duration(10 * time.Minute)}, sporarkiv.Quarantine)
	}
}

// TestCompileReportsProblems compiles documents that together have one problem. Compile
// must report exactly this problem and return no Set.
func TestCompileReportsProblems(t *testing.T) {
	policyWith := func(spec string) Document { return newDocument(KindSharingPolicy, "p", "", spec) }
	policyWithGroupFields := func(fields string) Document {
		return policyWith(`{"services":"x=y","groups":[{"name":"g","callers":"a=b","weight":1` + fields + `}]}`)
	}
	tests := []struct {
		name string
		docs []Document
		want string
	}{
		{"evacuation without a zone", []Document{newDocument("Evacuation", "e", "", `{"zone": ""}`)}, "Evacuation/e: spec.zone: must not be empty (got )"},
		{"evacuation of something else", []Document{newDocument("Evacuation", "e", "", `{"zone": 7}`)}, "Evacuation/e: spec.zone: want a string (got 7)"},
		{"unknown kind", []Document{newDocument("Server", "s", "", `{}`)}, "Server/s: kind: unknown kind, want Service, Caller, SharingPolicy or Evacuation (got Server)"},
		{"no name", []Document{newDocument(KindCaller, "", "", `{}`)}, `Caller/: name: want letters, digits and "-_." (got )`},
		{"no spec", []Document{{Kind: KindCaller, Name: "c"}}, "Caller/c: spec: must be set (got nothing)"},
		{"unknown field", []Document{newDocument(KindCaller, "c", "", `{"tokens":[1]}`)}, "Caller/c: spec.tokens: unknown field, want one of certificate_names, token_sha256 (got [1])"},
		{"field in the wrong case", []Document{newDocument(KindCaller, "c", "", `{"Token_SHA256":[]}`)}, "Caller/c: spec.Token_SHA256: unknown field, want one of certificate_names, token_sha256 (got [])"},
		{"wrong type", []Document{policyWithGroupFields(`,"queue_bound":"many"`)}, `SharingPolicy/p: spec.groups[0].queue_bound: want a whole number (got "many")`},
		{"duration without a unit", []Document{newDocument(KindService, "s", "", `{"deadline":5}`)}, `Service/s: spec.deadline: duration 5: want a string with a unit such as "250ms" (got 5)`},
		{"negative deadline", []Document{newDocument(KindService, "s", "", `{"deadline":"-1s"}`)}, "Service/s: spec.deadline: must not be negative (got -1s)"},
		{"negative weight", []Document{policyWith(`{"services":"","groups":[{"name":"g","callers":"a","weight":-1}]}`)}, "SharingPolicy/p: spec.groups[0].weight: must not be negative (got -1)"},
		{"retry share", []Document{policyWith(`{"services":"","retry_share":2,"groups":[{"name":"g","callers":"a","weight":1}]}`)}, "SharingPolicy/p: spec.retry_share: want 0 to 1 (got 2)"},
		{"bad selector", []Document{policyWith(`{"services":"a of (b)","groups":[{"name":"g","callers":"a","weight":1}]}`)}, `SharingPolicy/p: spec.services: term "a of (b)": unknown operator "of", want in or notin (got "a of (b)")`},
		{"group that selects nobody", []Document{policyWith(`{"services":"","groups":[{"name":"g","callers":"","weight":1}]}`)}, `SharingPolicy/p: spec.groups[0].callers: selects nobody; only the default group may be empty (got "")`},
		{"group twice", []Document{policyWith(`{"services":"","groups":[{"name":"g","callers":"a","weight":1},{"name":"g","callers":"b","weight":1}]}`)}, "SharingPolicy/p: spec.groups[1].name: declared more than once (got g)"},
		{"unknown class", []Document{policyWithGroupFields(`,"deadline_class":"slow"`)}, "SharingPolicy/p: spec.groups[0].deadline_class: no such class in deadline_classes (got slow)"},
		{"unknown default group", []Document{policyWith(`{"services":"","default_group":"d","groups":[{"name":"g","callers":"a","weight":1}]}`)}, "SharingPolicy/p: spec.default_group: no such group in this policy (got d)"},
		{"document twice", []Document{newDocument(KindCaller, "c", "", `{}`), newDocument(KindCaller, "c", "", `{}`)}, "Caller/c: name: declared more than once (got c)"},
		{"host twice", []Document{newDocument(KindService, "a", "", `{"hosts":["H"]}`), newDocument(KindService, "b", "", `{"hosts":["h"]}`)}, "Service/b: spec.hosts[0]: already names service a (got h)"},
		{"host that is a service", []Document{newDocument(KindService, "a", "", `{}`), newDocument(KindService, "b", "", `{"hosts":["a"]}`)}, "Service/b: spec.hosts[0]: already names service a (got a)"},
		{"token twice", []Document{newDocument(KindCaller, "a", "", `{"token_sha256":["`+strings.Repeat("0", 64)+`"]}`), newDocument(KindCaller, "b", "", `{"token_sha256":["`+strings.Repeat("0", 64)+`"]}`)}, "Caller/b: spec.token_sha256[0]: already belongs to caller a (got " + strings.Repeat("0", 64) + ")"},
		{"token too short", []Document{newDocument(KindCaller, "a", "", `{"token_sha256":["00"]}`)}, "Caller/a: spec.token_sha256[0]: want 64 hex digits (got 00)"},
		{"label value", []Document{newDocument(KindCaller, "a", "role=s p", `{}`)}, `Caller/a: labels.role: not a label value: want at most 63 letters, digits and "-_./" (got s p)`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set, problems := Compile(tt.docs)
			require.Nil(t, set)
			require.Len(t, problems, 1, "%v", problems)
			require.Equal(t, tt.want, problems[0].Error())
		})
	}
}

func TestCompileReportsAllProblemsAtOnce(t *testing.T) {
	docs := append(exampleDocuments(),
		newDocument(KindCaller, "x", "", `{"a":1,"b":2}`),
		newDocument(KindSharingPolicy, "z", "", `{"services":"=","groups":[{"name":"","callers":"(","weight":-1}]}`))
	_, problems := Compile(docs)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Document+" "+p.Path)
	}
	require.Equal(t, []string{
		"Caller/x spec.a", "Caller/x spec.b",
		"SharingPolicy/z spec.groups[0].callers",
		"SharingPolicy/z spec.groups[0].name", "SharingPolicy/z spec.groups[0].weight", "SharingPolicy/z spec.services",
	}, paths)
}

func TestParseReportsUnknownFieldsAndWrongTypes(t *testing.T) {
	docs, problems := Parse([]byte(`[{"kind":"Caller","name":"a","spec":{}},{"kind":"Caller","name":"b","lables":{},"labels":{"x":1},"spec":{}}]`))
	require.Len(t, docs, 2)
	require.Equal(t, []Problem{
		{Document: "Caller/b", Path: "labels.x", Value: "1", Message: "want a string"},
		{Document: "Caller/b", Path: "lables", Value: "{}", Message: "unknown field, want one of kind, labels, name, spec"},
	}, problems)
	_, problems = Parse([]byte(`{"kind":`))
	require.Len(t, problems, 1, "not JSON at all")
}

func TestExplainGivesReasonsForPolicyAndGroup(t *testing.T) {
	set, problems := Compile(exampleDocuments())
	require.Empty(t, problems)
	e, err := set.Explain("bench", "sporarkiv")
	require.NoError(t, err)
	require.EqualValues(t, "all", e.Group)
	require.Equal(t, []PolicyStep{
		{Name: "archive", Priority: 1, Wins: true, Why: "first by priority, then name, that selects the service"},
		{Name: "fyn", Why: "selects the service, but archive comes first"},
	}, e.Policies)
	e, err = set.Explain("audit", "returdesk")
	require.NoError(t, err)
	require.Equal(t, []PolicyStep{
		{Name: "archive", Priority: 1, Why: "does not select the service: tier=archive does not hold"},
		{Name: "fyn", Wins: true, Why: "first by priority, then name, that selects the service"},
	}, e.Policies)
	require.Equal(t, []GroupStep{
		{Name: "sorters", Why: "role=sorter does not hold"},
		{Name: "checks", Wins: true, Why: "default group, as no selector holds"},
	}, e.Groups)
	require.InDelta(t, 1.0/9, e.Share, 1e-9)
	e, err = set.Explain("", "sporarkiv")
	require.NoError(t, err)
	require.Empty(t, e.Group, "refused")
	_, err = set.Explain("nobody", "returdesk")
	require.EqualError(t, err, `no Caller is named "nobody"`)
	_, err = set.Explain("bench", "nowhere")
	require.EqualError(t, err, `no Service is named "nowhere"`)
}

func TestGroupOfDoesNotAllocate(t *testing.T) {
	set, _ := Compile(exampleDocuments())
	svc, _ := set.Service("returdesk")
	c, _ := set.CallerByName("bench")
	require.Zero(t, testing.AllocsPerRun(100, func() { svc.GroupOf(c) }))
}

// BenchmarkGroupOf compares a lookup in the cache ("remembered") with a lookup that
// matches the selectors of 1000 groups ("matched").
func BenchmarkGroupOf(b *testing.B) {
	docs := []Document{newDocument(KindService, "s", "", `{}`), newDocument(KindCaller, "c", "team=t999", `{}`)}
	groups := make([]string, 0, 1000)
	for i := range 1000 {
		groups = append(groups, fmt.Sprintf(`{"name":"g%d","callers":"team=t%d","weight":1}`, i, i))
	}
	docs = append(docs, newDocument(KindSharingPolicy, "p", "", `{"services":"","groups":[`+strings.Join(groups, ",")+`]}`))
	set, problems := Compile(docs)
	require.Empty(b, problems)
	svc, _ := set.Service("s")
	c, _ := set.CallerByName("c")
	b.Run("remembered", func(b *testing.B) {
		for b.Loop() {
			svc.GroupOf(c)
		}
	})
	b.Run("matched", func(b *testing.B) {
		for b.Loop() {
			svc.GroupByLabels(c.Labels)
		}
	})
}
