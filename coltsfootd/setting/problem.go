package setting

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFileBytes limits the size of the settings file, so that a wrong path can't exhaust the memory of a node.
const maxFileBytes = 1 << 20

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line counts from 1; a missing key is reported at line 1.
	Line int
	// Message says what is wrong and what is expected.
	Message string
}

// Error returns the problem as FILE:LINE: message.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
}

// Check reads a settings file and returns all problems in it, sorted by line.
// The settings are usable only if there are no problems.
func Check(path string) (Settings, []Problem) {
	f := settingsFile{path: path, keyLines: make(map[string]int)}
	s := f.load()
	if len(f.problems) == 0 {
		s.FleetSecretFile = resolvePath(path, s.FleetSecretFile)
		s.validate(f.report)
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return s, f.problems
}

// resolvePath resolves a relative path against the directory of the settings file.
func resolvePath(settingsPath, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settingsPath), path)
}

type settingsFile struct {
	path     string
	keyLines map[string]int
	problems []Problem
}

// report adds a problem of a key; a key that the file does not set is reported at line 1.
func (f *settingsFile) report(key, format string, args ...any) {
	f.reportAt(f.keyLines[key], format, args...)
}

func (f *settingsFile) reportAt(line int, format string, args ...any) {
	f.problems = append(f.problems, Problem{File: f.path, Line: max(1, line), Message: fmt.Sprintf(format, args...)})
}

func (f *settingsFile) load() Settings {
	s := Default()
	data, err := readLimited(f.path)
	if err != nil {
		f.reportAt(1, "settings cannot be read: %v", err)
		return s
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		f.reportAt(errorLine(err), "invalid YAML: %s", errorMessage(err))
		return s
	}
	if len(parsed.Docs) != 1 {
		f.reportAt(1, "expected one YAML document, got %d", len(parsed.Docs))
		return s
	}
	f.decode(parsed.Docs[0].Body, &s)
	return s
}

func readLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, Error.New("file has %d bytes, at most %d are allowed", info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

func (f *settingsFile) decode(body ast.Node, s *Settings) {
	var entries []*ast.MappingValueNode
	switch node := body.(type) {
	case *ast.MappingNode:
		entries = node.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{node}
	default:
		f.reportAt(1, "expected settings as key: value lines")
		return
	}
	fields := fieldsByKey(s)
	for _, entry := range entries {
		f.decodeEntry(entry, fields)
	}
}

func (f *settingsFile) decodeEntry(entry *ast.MappingValueNode, fields map[string]reflect.Value) {
	position := entry.Key.GetToken()
	key, line := position.Value, position.Position.Line
	field, known := fields[key]
	if !known {
		f.reportAt(line, "unknown key %q; expected one of the keys of the example settings", key)
		return
	}
	f.keyLines[key] = line
	if sequence, ok := entry.Value.(*ast.SequenceNode); ok {
		for i, value := range sequence.Values {
			f.keyLines[itemKey(key, i)] = value.GetToken().Position.Line
		}
	}
	if err := decodeValue(entry.Value, field); err != nil {
		f.reportAt(line, "%s must be %s, got %s", key, describeExpected(key, field), strings.TrimSpace(entry.Value.String()))
	}
}

var errWrongType = errors.New("value has the wrong type")

// decodeValue decodes the value into the field. It checks that scalars have the field's type, since the library
// converts some types.
func decodeValue(node ast.Node, field reflect.Value) error {
	switch field.Kind() {
	case reflect.Int, reflect.Int64:
		if node.Type() != ast.IntegerType {
			return errWrongType
		}
	case reflect.String:
		if node.Type() != ast.StringType && node.Type() != ast.LiteralType {
			return errWrongType
		}
	case reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			return errWrongType
		}
		for _, item := range sequence.Values {
			if item.Type() != ast.StringType {
				return errWrongType
			}
		}
	}
	return yaml.NodeToValue(node, field.Addr().Interface(), yaml.Strict())
}

// describeExpected describes the values that a key accepts, with the unit according to the suffix of its name.
func describeExpected(key string, field reflect.Value) string {
	switch {
	case field.Kind() == reflect.Slice:
		return "a list of strings"
	case field.Kind() == reflect.String:
		return "a string (put quotes around digits)"
	case strings.HasSuffix(key, "Ms"):
		return "a whole number of milliseconds without a unit"
	case strings.HasSuffix(key, "Bytes"):
		return "a whole number of bytes without a unit"
	default:
		return "a whole number"
	}
}

// Keys returns the keys of a settings file in the order of the struct.
func Keys() []string {
	t := reflect.TypeFor[Settings]()
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("yaml"))
	}
	return keys
}

func fieldsByKey(s *Settings) map[string]reflect.Value {
	value := reflect.ValueOf(s).Elem()
	fields := make(map[string]reflect.Value, value.NumField())
	for i, key := range Keys() {
		fields[key] = value.Field(i)
	}
	return fields
}

func itemKey(key string, index int) string {
	return fmt.Sprintf("%s[%d]", key, index)
}

// positionedError is implemented by the errors of the YAML library that have a position.
type positionedError interface {
	GetToken() *token.Token
	GetMessage() string
}

func errorLine(err error) int {
	var p positionedError
	if errors.As(err, &p) && p.GetToken() != nil {
		return p.GetToken().Position.Line
	}
	return 1
}

func errorMessage(err error) string {
	var p positionedError
	if errors.As(err, &p) {
		return p.GetMessage()
	}
	return err.Error()
}
