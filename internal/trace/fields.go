package trace

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
)

// field is one member of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

var errNoObject = errors.New("want one JSON object")

// objectFields returns the members of an object in order, including duplicates.
func objectFields(text []byte) ([]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if first, err := decoder.Token(); err != nil || first != json.Delim('{') {
		return nil, errNoObject
	}
	var fields []field
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNoObject, err)
		}
		member := field{}
		member.name, _ = name.(string) // a key is always a string
		if err := decoder.Decode(&member.value); err != nil {
			return nil, fmt.Errorf("%w: %w", errNoObject, err)
		}
		fields = append(fields, member)
	}
	if _, err := decoder.Token(); err != nil || decoder.InputOffset() != int64(len(bytes.TrimRight(text, " \t\r"))) {
		return nil, errNoObject
	}
	return fields, nil
}

// splitFields separates the members with one of the given names from the others.
func splitFields(fields []field, names ...string) (named, others []field) {
	for _, member := range fields {
		if slices.Contains(names, member.name) {
			named = append(named, member)
			continue
		}
		others = append(others, member)
	}
	return named, others
}

// object decodes a JSON object into the struct target.
func (r *reader) object(line int, path string, text []byte, target reflect.Value) {
	fields, err := objectFields(text)
	if err != nil {
		r.add(line, path, "%v", err)
		return
	}
	r.fields(line, path, fields, target)
}

func (r *reader) fields(line int, path string, fields []field, target reflect.Value) {
	seen := map[string]bool{}
	for _, member := range fields {
		fieldPath := join(path, member.name)
		value, known := fieldByName(target, member.name)
		switch {
		case !known:
			r.add(line, fieldPath, "unknown field")
		case seen[member.name]:
			r.add(line, fieldPath, "given twice")
		default:
			r.set(line, fieldPath, member.value, value)
		}
		seen[member.name] = true
	}
}

var (
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonType = reflect.TypeFor[json.Unmarshaler]()
)

// set decodes one field. Structs and slices of structs are decoded field by field,
// so that each finding has the path of its own field.
func (r *reader) set(line int, path string, text json.RawMessage, target reflect.Value) {
	if isSection(target.Type()) {
		r.object(line, path, text, target)
		return
	}
	if target.Kind() == reflect.Slice && isSection(target.Type().Elem()) {
		var elements []json.RawMessage
		if err := json.Unmarshal(text, &elements); err != nil {
			r.add(line, path, "want a list")
			return
		}
		target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
		for index, element := range elements {
			r.object(line, fmt.Sprintf("%s[%d]", path, index), element, target.Index(index))
		}
		return
	}
	if err := json.Unmarshal(text, target.Addr().Interface()); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			r.add(line, path, "want %s, have %s", mismatch.Type, text)
			return
		}
		r.add(line, path, "%v", err)
	}
}

func isSection(kind reflect.Type) bool {
	pointer := reflect.PointerTo(kind)
	return kind.Kind() == reflect.Struct && !pointer.Implements(textType) && !pointer.Implements(jsonType)
}

// fieldByName finds a struct's field by its JSON name, also in embedded structs.
func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for index := range target.NumField() {
		described := target.Type().Field(index)
		if described.Anonymous {
			if found, ok := fieldByName(target.Field(index), name); ok {
				return found, true
			}
			continue
		}
		if jsonName(described) == name {
			return target.Field(index), true
		}
	}
	return reflect.Value{}, false
}

func jsonName(described reflect.StructField) string {
	name, _, _ := strings.Cut(described.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// rules checks the validate tags and reports fields by their JSON names.
var rules = func() *validator.Validate {
	built := validator.New(validator.WithRequiredStructEnabled())
	built.RegisterTagNameFunc(jsonName)
	return built
}()

// validate adds a finding for each field that violates its validate tag.
func (r *reader) validate(line int, value any) {
	var broken validator.ValidationErrors
	if !errors.As(rules.Struct(value), &broken) {
		return
	}
	for _, one := range broken {
		_, path, _ := strings.Cut(one.Namespace(), ".")
		switch one.Tag() {
		case "required":
			r.add(line, path, "is missing")
		default:
			r.add(line, path, "is %v, want %s", one.Value(), strings.TrimSpace(one.Tag()+" "+one.Param()))
		}
	}
}
