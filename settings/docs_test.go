package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// tableRow matches a table row of docs/SETTINGS.md, "| `path` | `default` | meaning |".
var tableRow = regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\| `([^`]*)` \\| (.+) \\|$")

// TestTheReferenceListsEveryFieldWithItsDefault checks that docs/SETTINGS.md lists
// each field of the settings structs with its default, and no other field.
func TestTheReferenceListsEveryFieldWithItsDefault(t *testing.T) {
	text, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	documentedDefaults := make(map[string]string)
	for _, m := range tableRow.FindAllStringSubmatch(string(text), -1) {
		require.NotContains(t, documentedDefaults, m[1], "listed twice")
		documentedDefaults[m[1]] = m[2]
	}
	actualDefaults := make(map[string]string)
	collectDefaults(t, "", reflect.ValueOf(Defaults()), actualDefaults)
	for path, value := range actualDefaults {
		require.Equal(t, value, documentedDefaults[path], "docs/SETTINGS.md must have a row for %s with its default", path)
	}
	for path := range documentedDefaults {
		require.Contains(t, actualDefaults, path, "docs/SETTINGS.md lists a field that does not exist")
	}
}

// collectDefaults stores the default of every field of the struct v, including those
// of nested structs, as JSON under the field's JSON path.
func collectDefaults(t *testing.T, path string, v reflect.Value, defaults map[string]string) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		require.NotEmpty(t, name, "%s.%s has no JSON name", path, v.Type().Field(i).Name)
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		f := v.Field(i)
		if f.Kind() == reflect.Struct {
			collectDefaults(t, fieldPath, f, defaults)
			continue
		}
		value := f.Interface()
		if f.Kind() == reflect.Slice && f.IsNil() {
			value = []string{}
		}
		data, err := json.Marshal(value)
		require.NoError(t, err)
		defaults[fieldPath] = string(data)
	}
}

// TestTheExamplesOfTheReferenceAreValid parses every JSON example in
// docs/SETTINGS.md.
func TestTheExamplesOfTheReferenceAreValid(t *testing.T) {
	text, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, blocks)
	for _, b := range blocks {
		s, err := Parse([]byte(b[1]))
		require.NoError(t, err, b[1])
		require.NotEqual(t, policy.Duration(0), s.Process.ShutdownTimeout)
	}
}
