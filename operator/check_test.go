package operator

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	sharedService = `{"kind":"Service","name":"sheds","labels":{"region":"hardap"},"spec":{}}`
	sharedCaller  = `{"kind":"Caller","name":"farm","labels":{"role":"farmer"},"spec":{}}`
	sharedPolicy  = `{"kind":"SharingPolicy","name":"hardap","spec":{"services":"region=hardap","groups":[
		{"name":"farmers","callers":"role=farmer","weight":3},{"name":"rest","callers":"","weight":1}],"default_group":"rest"}}`
)

func TestCheckErrorsNameFilePathAndValue(t *testing.T) {
	_, err := Check([]File{
		{Path: "a.json", Data: []byte(sharedService)},
		{Path: "b.json", Data: []byte(`[` + sharedCaller + `,{"kind":"Caller","name":"x","spec":{"tokens":[]}}]`)},
		{Path: "c.json", Data: []byte(sharedCaller)},
	})
	require.EqualError(t, err, "b.json: Caller/farm: name: declared more than once (got farm)\n"+
		"b.json: Caller/x: spec.tokens: unknown field, want one of certificate_names, token_sha256 (got [])")
	_, err = Check([]File{{Path: "d.json", Data: []byte(`{"kind":"Caller","name":"x","sepc":{}}`)}})
	require.EqualError(t, err, "d.json: Caller/x: sepc: unknown field, want one of kind, labels, name, spec (got {})")
}

func TestWriteAssignmentsAndExplanation(t *testing.T) {
	set, err := Check([]File{{Path: "all.json", Data: []byte("[" + sharedService + "," + sharedCaller + "," + sharedPolicy + "]")}})
	require.NoError(t, err)
	var out bytes.Buffer
	WriteAssignments(&out, set)
	require.Equal(t, ""+
		"service  policy  caller               group    share when all are busy\n"+
		"sheds    hardap  farm                 farmers  75.0%\n"+
		"sheds    hardap  without credentials  rest     25.0%\n", out.String())
	out.Reset()
	e, err := set.Explain("farm", "sheds")
	require.NoError(t, err)
	WriteExplanation(&out, e)
	require.Equal(t, ""+
		"service sheds, caller farm\n"+
		"policies, in the order in which they are tried:\n"+
		"  * hardap (priority 0): first by priority, then name, that selects the service\n"+
		"groups of the winning policy, in order:\n"+
		"  * farmers: first group whose selector \"role=farmer\" holds\n"+
		"    rest: selects nobody\n"+
		"group farmers: 75.0% of each upstream when all groups are busy, deadline 10s\n", out.String())
}
