package cmd_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootctl/cmd"
)

func runCommand(t *testing.T, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = cmd.Main(args, strings.NewReader(stdin), &out, &errOut)
	return code, out.String(), errOut.String()
}

// Guards against an error in the settings that the command accepts although a node rejects it, or that it reports without
// the line. The invalid files are those of the tests of module coltsfootd.
func TestCheckReportsLineOfEachSettingsError(t *testing.T) {
	files, err := filepath.Glob("../../coltsfootd/setting/testdata/broken/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		before, after, ok := strings.Cut(string(data), "# want: ")
		assert.Assert(t, ok, file)
		message, _, _ := strings.Cut(after, "\n")
		line := 1 + strings.Count(before, "\n")
		code, _, stderr := runCommand(t, "", "check", file)
		assert.Assert(t, code != 0, file)
		assert.Assert(t, strings.HasPrefix(stderr, fmt.Sprintf("%s:%d: ", file, line)), stderr)
		assert.Assert(t, strings.Contains(stderr, message), stderr)
	}
}

// Guards against an error in a published value that is accepted, or that is reported without its line. Each directory
// contains one invalid file, which replaces its valid version, and in the file want the location and part of the message.
func TestCheckReportsLineOfEachPublishedValueError(t *testing.T) {
	cases, err := filepath.Glob("testdata/broken/*")
	assert.NilError(t, err)
	assert.Assert(t, len(cases) > 0)
	for _, directory := range cases {
		t.Run(filepath.Base(directory), func(t *testing.T) {
			work := t.TempDir()
			assert.NilError(t, os.CopyFS(work, os.DirFS("testdata/good")))
			want, err := os.ReadFile(filepath.Join(directory, "want"))
			assert.NilError(t, err)
			location, message, _ := strings.Cut(strings.TrimSpace(string(want)), ": ")
			name, _, _ := strings.Cut(location, ":")
			data, err := os.ReadFile(filepath.Join(directory, name))
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(filepath.Join(work, name), data, 0o600))

			code, _, stderr := runCommand(t, "", "check", work)
			assert.Assert(t, code != 0)
			assert.Assert(t, slices.ContainsFunc(strings.Split(stderr, "\n"), func(line string) bool {
				return strings.HasPrefix(line, filepath.Join(work, location)+": ") && strings.Contains(line, message)
			}), stderr)
		})
	}
}

// Guards against accepting a value that is too large for the configuration service.
func TestCheckRejectsValuesOverOneMegabyte(t *testing.T) {
	file := filepath.Join(t.TempDir(), "accounts.json")
	assert.NilError(t, os.WriteFile(file, bytes.Repeat([]byte(" "), 1_000_001), 0o600))
	code, _, stderr := runCommand(t, "", "check", file)
	assert.Assert(t, code != 0)
	assert.Assert(t, strings.Contains(stderr, file+":1: value has 1000001 bytes"), stderr)
}

// Guards against rejecting valid files, and against success when no file was checked.
func TestCheckAcceptsExamplesAndRejectsPathsWithoutFiles(t *testing.T) {
	code, stdout, stderr := runCommand(t, "", "check", "../../examples/sablons", "../../examples/hanoi", "testdata/good")
	assert.Equal(t, code, 0, stderr)
	assert.Equal(t, stdout, "17 files checked, no problems\n")
	for _, path := range []string{t.TempDir(), "testdata/broken/syntax/want"} {
		code, _, _ := runCommand(t, "", "check", path)
		assert.Assert(t, code != 0, path)
	}
}
