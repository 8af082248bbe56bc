package strict

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// UnknownKey is the message about a key that no field has.
const UnknownKey = "unknown key"

// UnknownKeys returns the paths of the keys in a decoded document to which out, a pointer
// to a struct, has no field, in order. tag is the key of the struct tags that name the
// fields.
func UnknownKeys(document, out any, tag string) []string {
	var paths []string
	findUnknown("", document, reflect.TypeOf(out), tag, &paths)
	slices.Sort(paths)
	return paths
}

// findUnknown adds the unknown keys of a value that is decoded into type t to paths. Values
// of other types than t's are left to the decoder.
func findUnknown(path string, value any, t reflect.Type, tag string, paths *[]string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch v := value.(type) {
	case map[string]any:
		findUnknownInMap(path, v, t, tag, paths)
	case []any:
		if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
			return
		}
		for i, element := range v {
			findUnknown(fmt.Sprintf("%s[%d]", path, i), element, t.Elem(), tag, paths)
		}
	}
}

// findUnknownInMap is findUnknown for a map, which is decoded into a struct or a map.
func findUnknownInMap(path string, values map[string]any, t reflect.Type, tag string, paths *[]string) {
	switch t.Kind() {
	case reflect.Map:
		for key, value := range values {
			findUnknown(joinPath(path, key), value, t.Elem(), tag, paths)
		}
	case reflect.Struct:
		fields := fieldTypes(t, tag)
		for key, value := range values {
			field, known := fields[key]
			if !known {
				*paths = append(*paths, joinPath(path, key))
				continue
			}
			findUnknown(joinPath(path, key), value, field, tag, paths)
		}
	}
}

// fieldTypes returns the types of a struct's fields by their names in documents.
func fieldTypes(t reflect.Type, tag string) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

// joinPath returns the path of a key below another path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// mapKey matches a key of a map as mapstructure writes it in a path. Numbers in brackets
// are indexes of lists.
var mapKey = regexp.MustCompile(`\[([^\]]*[^\]0-9][^\]]*)\]`)

// dottedPath returns a path of mapstructure with a dot before each key of a map.
func dottedPath(path string) string { return mapKey.ReplaceAllString(path, ".$1") }
