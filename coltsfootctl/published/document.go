package published

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"coltsfootusher.example/core/fleet"
)

// maxValueBytes is the maximum size of a value in the configuration service, 1 MB.
const maxValueBytes = 1_000_000

// Problem is an error in a file.
type Problem struct {
	File string
	// Line starts at 1.
	Line int
	// Message describes the error and what is expected.
	Message string
}

// String returns the problem as FILE:LINE: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
}

// document is a published value with the line number of each key and list item by its path.
type document struct {
	path     string
	data     []byte
	lines    map[string]int
	problems []Problem
}

// SectionOfFile returns the section that the file holds according to its name.
func SectionOfFile(path string) (fleet.SectionName, bool) {
	for _, name := range fleet.SectionNames() {
		if filepath.Base(path) == string(name)+".json" {
			return name, true
		}
	}
	return "", false
}

// readDocument reads the file, decodes it into section, a pointer, and indexes its lines.
func readDocument(path string, section any) *document {
	d := &document{path: path, lines: make(map[string]int)}
	info, err := os.Stat(path)
	if err != nil {
		d.report("", "file cannot be read: %v", err)
		return d
	}
	if info.Size() > maxValueBytes {
		d.report("", "value has %d bytes, the configuration service accepts at most %d", info.Size(), maxValueBytes)
		return d
	}
	if d.data, err = os.ReadFile(path); err != nil {
		d.report("", "file cannot be read: %v", err)
		return d
	}
	d.decode(section)
	return d
}

func (d *document) decode(section any) {
	if err := json.Unmarshal(d.data, section); err != nil {
		d.reportDecodeError(err)
		return
	}
	indexLines(d, section)
}

// reportDecodeError reports a decoding error at the line of its byte offset.
func (d *document) reportDecodeError(err error) {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		d.reportAtLine(d.lineOfOffset(syntax.Offset), "invalid JSON: %v", err)
	case errors.As(err, &wrongType):
		d.reportAtLine(d.lineOfOffset(wrongType.Offset), "%s must be %s, got %s",
			wrongType.Field, jsonTypeName(wrongType.Type), wrongType.Value)
	default:
		d.reportAtLine(1, "invalid JSON: %v", err)
	}
}

// lineOfOffset returns the line of the last byte before the offset.
func (d *document) lineOfOffset(offset int64) int {
	end := min(max(0, int(offset)-1), len(d.data))
	return 1 + bytes.Count(d.data[:end], []byte("\n"))
}

// report adds a problem at the line of the path, or of its nearest parent that is in the file.
func (d *document) report(path, format string, args ...any) {
	line, ok := d.lines[path]
	for !ok && path != "" {
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
		line, ok = d.lines[path]
	}
	d.reportAtLine(max(1, line), format, args...)
}

func (d *document) reportAtLine(line int, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.path, Line: line, Message: fmt.Sprintf(format, args...)})
}
