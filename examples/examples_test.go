// Package examples_test checks that the examples and the operators' reference match the code.
package examples_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/table"
)

func TestExamplesAreValid(t *testing.T) {
	for _, site := range []string{"quito", "haldane-ridge"} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Load(settings.Flags{File: filepath.Join(site, "node.yaml")})
			is.NoErr(err)
			content, err := os.ReadFile(filepath.Join(site, "table.csv"))
			is.NoErr(err)
			_, err = table.Parse(content)
			is.NoErr(err)
		})
	}
}

func reference(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestReferenceDocumentsEveryColumn(t *testing.T) {
	page := reference(t)
	for _, column := range table.Columns() {
		standard := "`" + column.Default + "`"
		switch {
		case column.Required:
			standard = "required"
		case column.Default == "":
			standard = "empty"
		}
		kinds := strings.Trim(strings.ReplaceAll(fmt.Sprint(column.Kinds), " ", ", "), "[]")
		row := fmt.Sprintf("| `%s` | %s | %s | %s | %s |", column.Name, kinds, standard, column.Values, column.Meaning)
		if !strings.Contains(page, row) {
			t.Errorf("docs/OPERATIONS.md has no row: %s", row)
		}
	}
}

func TestReferenceDocumentsEverySetting(t *testing.T) {
	page := reference(t)
	settingsOf("", reflect.ValueOf(settings.Default()), func(field string, value reflect.Value) {
		start := fmt.Sprintf("| `%s` | ", field)
		if !value.IsZero() {
			start += fmt.Sprintf("%v |", value.Interface())
		}
		if !strings.Contains(page, start) {
			t.Errorf("docs/OPERATIONS.md has no row that starts with: %s", start)
		}
	})
}

// settingsOf calls visit for each setting with its path.
func settingsOf(path string, group reflect.Value, visit func(field string, value reflect.Value)) {
	for i := range group.NumField() {
		field, value := group.Type().Field(i), group.Field(i)
		name := strings.TrimPrefix(path+"."+field.Tag.Get("yaml"), ".")
		if value.Kind() == reflect.Struct && value.Type().PkgPath() == group.Type().PkgPath() {
			settingsOf(name, value, visit)
			continue
		}
		visit(name, value)
	}
}
