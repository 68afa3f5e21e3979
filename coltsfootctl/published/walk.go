package published

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// walker records the line of each part of a JSON value and reports keys that its type does not have.
type walker struct {
	document *document
	decoder  *json.Decoder
}

// walk visits the document, which is known to be valid JSON for the type of section.
func walk(d *document, section any) {
	w := walker{document: d, decoder: json.NewDecoder(bytes.NewReader(d.data))}
	w.value("", reflect.TypeOf(section).Elem())
}

func (w walker) value(path string, t reflect.Type) {
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	if _, ok := w.document.lines[path]; !ok {
		w.document.lines[path] = w.line()
	}
	switch token {
	case json.Delim('{'):
		w.object(path, t)
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			w.value(fmt.Sprintf("%s[%d]", path, i), element(t))
		}
		_, _ = w.decoder.Token()
	}
}

func (w walker) object(path string, t reflect.Type) {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		child := strings.TrimPrefix(path+"."+key, ".")
		line := w.line()
		if seen[key] {
			w.document.reportLine(line, "key %q is in the same object twice", key)
		}
		seen[key] = true
		childType, known := member(t, key)
		if !known {
			w.document.reportLine(line, "unknown key %q, expected one of: %s", key, strings.Join(keys(t), ", "))
		}
		w.document.lines[child] = line
		w.value(child, childType)
	}
	_, _ = w.decoder.Token()
}

func (w walker) line() int {
	return w.document.lineAt(w.decoder.InputOffset())
}

// element returns the type of the items of a list; nil stands for a type that is not known.
func element(t reflect.Type) reflect.Type {
	if t == nil || t.Kind() != reflect.Slice {
		return nil
	}
	return t.Elem()
}

func member(t reflect.Type, key string) (reflect.Type, bool) {
	if t == nil {
		return nil, true
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		if tagOf(t.Field(i)) == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func keys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, tagOf(t.Field(i)))
	}
	return names
}

func tagOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// typeName names a type as JSON has it.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
