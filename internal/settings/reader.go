package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// reader sets fields from YAML nodes and records where each one was set. It continues after
// a finding, so that one run reports all of them.
type reader struct {
	file string
	// places maps the path of a field to the location where it was set.
	places map[string]string
	// invalid has the paths of the fields that could not be read.
	invalid  map[string]bool
	findings []Finding
}

func newReader(file string) *reader {
	return &reader{file: file, places: map[string]string{}, invalid: map[string]bool{}}
}

func (r *reader) add(node ast.Node, field, message string) {
	r.invalid[field] = true
	r.findings = append(r.findings, Finding{Place: r.placeOf(node), Field: field, Message: message})
}

func (r *reader) placeOf(node ast.Node) string {
	if node == nil || node.GetToken() == nil {
		return r.file
	}
	return fmt.Sprintf("%s:%d", r.file, node.GetToken().Position.Line)
}

// place returns the location where field was set, else that of its nearest enclosing section
// in the file, else the file or "flags".
func (r *reader) place(field string) string {
	for path := field; path != ""; {
		if place, found := r.places[path]; found {
			return place
		}
		cut := strings.LastIndexAny(path, ".[")
		path = path[:max(cut, 0)]
	}
	if r.file == "" {
		return "flags"
	}
	return r.file
}

// read sets the fields of the struct that result points to.
func (r *reader) read(node ast.Node, result any) {
	r.section(node, "", reflect.ValueOf(result).Elem())
}

// section sets the fields of the struct target from a mapping node.
func (r *reader) section(node ast.Node, path string, target reflect.Value) {
	entries, ok := mappingEntries(node)
	if !ok {
		r.add(node, path, "want a section of fields, have "+strings.ToLower(node.Type().String()))
		return
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		key := entry.Key.GetToken().Value
		field := join(path, key)
		value, found := fieldByKey(target, key)
		switch {
		case !found:
			r.add(entry.Key, field, "unknown field"+suggestion(key, keysOf(target)))
		case seen[key]:
			r.add(entry.Key, field, "given twice")
		default:
			r.places[field] = r.placeOf(entry.Key)
			r.set(entry.Value, field, value)
		}
		seen[key] = true
	}
}

func (r *reader) set(node ast.Node, field string, target reflect.Value) {
	if node.Type() == ast.NullType {
		return // a key without a value keeps the default
	}
	if isSection(target) {
		r.section(node, field, target)
		return
	}
	decoded := reflect.New(target.Type())
	if err := yaml.NodeToValue(node, decoded.Interface(), yaml.Strict()); err != nil {
		r.add(node, field, fmt.Sprintf("want %s, have %q", typeName(target.Type()), strings.TrimSpace(node.String())))
		return
	}
	target.Set(decoded.Elem())
}

// override sets the field of one flag.
func (r *reader) override(o override, result *Settings) {
	target := reflect.ValueOf(result).Elem()
	place := "flag " + o.flag
	for _, key := range strings.Split(o.field, ".") {
		next, found := reflect.Value{}, false
		if isSection(target) {
			next, found = fieldByKey(target, key)
		}
		if !found {
			r.findings = append(r.findings, Finding{Place: place, Field: o.field, Message: "unknown field"})
			return
		}
		target = next
	}
	r.places[o.field] = place
	delete(r.invalid, o.field)
	if err := setText(target, o.value); err != nil {
		r.invalid[o.field] = true
		message := fmt.Sprintf("want %s, have %q", typeName(target.Type()), o.value)
		r.findings = append(r.findings, Finding{Place: place, Field: o.field, Message: message})
	}
}

func setText(target reflect.Value, text string) error {
	if isSection(target) {
		return fmt.Errorf("settings: %s is a section", typeName(target.Type()))
	}
	if target.Kind() == reflect.String {
		target.SetString(text)
		return nil
	}
	file, err := parser.ParseBytes([]byte(text), 0)
	if err != nil {
		return fmt.Errorf("settings: value: %w", err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return fmt.Errorf("settings: no value")
	}
	decoded := reflect.New(target.Type())
	if err := yaml.NodeToValue(file.Docs[0].Body, decoded.Interface(), yaml.Strict()); err != nil {
		return fmt.Errorf("settings: value: %w", err)
	}
	target.Set(decoded.Elem())
	return nil
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

// isSection reports whether target is a section of fields rather than a single value. Only
// the structs of this package are sections.
func isSection(target reflect.Value) bool {
	return target.Kind() == reflect.Struct && target.Type().PkgPath() == reflect.TypeFor[Settings]().PkgPath()
}

func fieldByKey(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("yaml") == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(target reflect.Value) []string {
	keys := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		keys = append(keys, target.Type().Field(i).Tag.Get("yaml"))
	}
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func typeName(t reflect.Type) string {
	switch t.String() {
	case "time.Duration":
		return "a duration such as 500ms or 5s"
	case "netip.AddrPort":
		return "an IP number and port such as 10.0.0.1:7000"
	case "[]netip.AddrPort":
		return "a list of IP numbers with ports"
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.String:
		return "text"
	}
	return t.String()
}
