package published

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// lineIndexer records the line of each key and list item of a JSON document and reports unknown and duplicate keys.
type lineIndexer struct {
	document *document
	decoder  *json.Decoder
}

// indexLines indexes a document that has been decoded into section without an error.
func indexLines(d *document, section any) {
	w := lineIndexer{document: d, decoder: json.NewDecoder(bytes.NewReader(d.data))}
	w.visitValue("", reflect.TypeOf(section).Elem())
}

func (w lineIndexer) visitValue(path string, t reflect.Type) {
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	if _, ok := w.document.lines[path]; !ok {
		w.document.lines[path] = w.currentLine()
	}
	switch token {
	case json.Delim('{'):
		w.visitObject(path, t)
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			w.visitValue(fmt.Sprintf("%s[%d]", path, i), elementType(t))
		}
		_, _ = w.decoder.Token()
	}
}

func (w lineIndexer) visitObject(path string, t reflect.Type) {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		childPath := strings.TrimPrefix(path+"."+key, ".")
		line := w.currentLine()
		if seen[key] {
			w.document.reportAtLine(line, "key %q is in the same object twice", key)
		}
		seen[key] = true
		childType, known := memberType(t, key)
		if !known {
			w.document.reportAtLine(line, "unknown key %q, expected one of: %s", key, strings.Join(fieldNames(t), ", "))
		}
		w.document.lines[childPath] = line
		w.visitValue(childPath, childType)
	}
	_, _ = w.decoder.Token()
}

func (w lineIndexer) currentLine() int {
	return w.document.lineOfOffset(w.decoder.InputOffset())
}

// elementType returns the type of the items of a list, or nil if it is unknown.
func elementType(t reflect.Type) reflect.Type {
	if t == nil || t.Kind() != reflect.Slice {
		return nil
	}
	return t.Elem()
}

// memberType returns the type of a key of an object and whether the object may have this key. Below an unknown key, where
// t is nil, every key is accepted, because the unknown key itself has been reported already.
func memberType(t reflect.Type, key string) (reflect.Type, bool) {
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
		if jsonName(t.Field(i)) == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// jsonTypeName describes a type in JSON terms.
func jsonTypeName(t reflect.Type) string {
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
