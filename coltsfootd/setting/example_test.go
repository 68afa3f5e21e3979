package setting_test

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/setting"
)

// Guards against a settings key that the examples omit, and against a key in the examples that does not exist.
func TestExamplesNameEveryKey(t *testing.T) {
	for _, data := range readExamples(t) {
		var settings map[string]any
		assert.NilError(t, yaml.Unmarshal([]byte(data), &settings))
		got := slices.Sorted(maps.Keys(settings))
		assert.DeepEqual(t, got, slices.Sorted(slices.Values(setting.Keys())))
	}
}

// Guards against a comment in the examples that states a wrong default or lacks the unit.
func TestExamplesStateUnitAndDefault(t *testing.T) {
	defaults := reflect.ValueOf(setting.Default())
	for _, data := range readExamples(t) {
		for i, key := range setting.Keys() {
			comment := keyComment(data, key)
			want := "No default."
			if value := defaults.Field(i); !value.IsZero() || value.Kind() == reflect.Int {
				want = fmt.Sprintf("Default: %v", value.Interface())
			} else if value.Kind() == reflect.Slice {
				want = "Default: empty."
			}
			assert.Assert(t, strings.Contains(comment, want), "%s: %q does not contain %q", key, comment, want)
			unit := map[bool]string{strings.HasSuffix(key, "Ms"): "Milliseconds", strings.HasSuffix(key, "Bytes"): "Bytes"}[true]
			assert.Assert(t, strings.Contains(comment, unit), "%s: %q does not name the unit", key, comment)
		}
	}
}

// keyComment returns the comment lines directly above the key.
func keyComment(data, key string) string {
	before, _, _ := strings.Cut(data, "\n"+key+":")
	lines := strings.Split(before, "\n")
	first := len(lines)
	for first > 0 && strings.HasPrefix(lines[first-1], "#") {
		first--
	}
	return strings.Join(lines[first:], " ")
}

func readExamples(t *testing.T) []string {
	t.Helper()
	var contents []string
	for _, profile := range []string{"sablons", "hanoi"} {
		data, err := os.ReadFile("../../examples/" + profile + "/coltsfootd.yaml")
		assert.NilError(t, err)
		contents = append(contents, string(data))
	}
	return contents
}
