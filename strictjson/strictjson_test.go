package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

type item struct {
	Size int `json:"size"`
}

type document struct {
	Name  string            `json:"name"`
	Wait  policy.Duration   `json:"wait"`
	Inner item              `json:"inner"`
	Items []item            `json:"items"`
	Tags  map[string]string `json:"tags"`
}

func TestUnmarshalNamesTheWrongField(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"not JSON":                 {"{\n\"name\": x}", `(top level): not JSON: line 2: invalid character 'x' looking for beginning of value`},
		"unknown field":            {`{"nam": "a"}`, `nam: no such field (got "a")`},
		"unknown nested field":     {`{"inner": {"sise": 2}}`, `inner.sise: no such field (got 2)`},
		"field name in wrong case": {`{"Name": "a"}`, `Name: no such field (got "a")`},
		"wrong type":               {`{"inner": {"size": "2"}}`, `inner.size: want a whole number (got "2")`},
		"null":                     {`{"name": null}`, `name: want a string (got null)`},
		"wrong type in list item":  {`{"items": [{"size": 1}, {"size": 1.5}]}`, `items[1].size: want a whole number (got 1.5)`},
		"duration as number":       {`{"wait": 5}`, `wait: duration 5: want a string with a unit such as "250ms" (got 5)`},
		"unknown duration unit":    {`{"wait": "5 parsecs"}`, `wait: duration "5 parsecs": want a number with a unit such as "250ms" (got "5 parsecs")`},
		"duplicate field":          {`{"name": "a", "name": "b"}`, `name: field given twice (got "b")`},
		"trailing data":            {`{} {}`, `(top level): more data after the JSON value`},
		"list instead of object":   {`[1]`, `(top level): want an object (got [1])`},
	} {
		t.Run(name, func(t *testing.T) {
			var d document
			err := Unmarshal([]byte(c.text), &d)
			var fieldErr *FieldError
			require.ErrorAs(t, err, &fieldErr)
			require.Equal(t, c.want, err.Error())
		})
	}
}

func TestUnmarshalKeepsDefaults(t *testing.T) {
	d := document{Name: "default", Inner: item{Size: 3}}
	require.NoError(t, Unmarshal([]byte(`{"items": [{"size": 7}], "tags": {"a": "b"}}`), &d))
	require.Equal(t, document{
		Name:  "default",
		Inner: item{Size: 3},
		Items: []item{{Size: 7}},
		Tags:  map[string]string{"a": "b"},
	}, d)
}
