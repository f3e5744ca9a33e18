package standin

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ReadParameters reads an emulator's YAML file over defaults and checks the result by the
// fields' validate tags; an empty path selects the defaults. All errors are returned
// together, each with file, line and field.
func ReadParameters[T any](path string, defaults T) (T, error) {
	parameters := defaults
	var file *ast.File
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return defaults, fmt.Errorf("parameters: %w", err)
		}
		if file, err = parser.ParseBytes(content, 0); err != nil {
			return defaults, fmt.Errorf("parameters: %s: %w", path, err)
		}
		if err := yaml.UnmarshalWithOptions(content, &parameters, yaml.Strict()); err != nil {
			return defaults, fmt.Errorf("parameters: %s: %w", path, err)
		}
	}
	return parameters, check(path, file, parameters)
}

func check(path string, file *ast.File, parameters any) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	err := checker.Struct(parameters)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		_, field, _ := strings.Cut(fault.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s: %s: is %v, which breaks the rule %s %s",
			place(path, file, field), field, fault.Value(), fault.Tag(), fault.Param()))
	}
	return fmt.Errorf("parameters: %d finding(s)\n  %s", len(lines), strings.Join(lines, "\n  "))
}

// place returns file:line of field, or the file alone if the field has its default.
func place(path string, file *ast.File, field string) string {
	if file == nil {
		return "defaults"
	}
	yamlPath, err := yaml.PathString("$." + field)
	if err != nil {
		return path
	}
	node, err := yamlPath.FilterFile(file)
	if err != nil || node == nil {
		return path
	}
	return fmt.Sprintf("%s:%d", path, node.GetToken().Position.Line)
}
