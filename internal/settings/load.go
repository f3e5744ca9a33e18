package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/samber/lo"
)

// Load reads the settings file, if flags name one, applies the flags and checks the result.
// It returns all findings together as a *FindingsError.
func Load(flags Flags) (Settings, error) {
	if flags.File == "" {
		return Parse("", nil, flags)
	}
	content, err := os.ReadFile(flags.File)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(flags.File, content, flags)
}

// Parse is like Load, with the content of the file. name is used in findings.
func Parse(name string, content []byte, flags Flags) (Settings, error) {
	result := Default()
	reader := newReader(name)
	if err := reader.document(content, &result); err != nil {
		return Settings{}, err
	}
	overrides, findings := flags.overrides()
	reader.findings = append(reader.findings, findings...)
	for _, o := range overrides {
		reader.override(o, &result)
	}
	reader.findings = append(reader.findings, check(result, reader)...)
	if len(reader.findings) > 0 {
		return Settings{}, &FindingsError{Findings: reader.findings}
	}
	return result, nil
}

// document reads a file into the struct that result points to. It returns a *FindingsError if
// the content is not YAML, and adds all other findings to the reader.
func (r *reader) document(content []byte, result any) error {
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey()) // the reader reports duplicate keys with their field
	if err != nil {
		return &FindingsError{Findings: []Finding{syntaxFinding(r.file, err)}}
	}
	documents := lo.Filter(file.Docs, func(d *ast.DocumentNode, _ int) bool { return d.Body != nil })
	if len(documents) > 1 {
		r.add(documents[1].Body, "", "a second document; a settings file holds one")
	}
	if len(documents) > 0 {
		r.read(documents[0].Body, result)
	}
	return nil
}

func syntaxFinding(name string, err error) Finding {
	var fault yaml.Error
	if errors.As(err, &fault) && fault.GetToken() != nil {
		return Finding{
			Place:   fmt.Sprintf("%s:%d", name, fault.GetToken().Position.Line),
			Message: "not YAML: " + fault.GetMessage(),
		}
	}
	return Finding{Place: name, Message: "not YAML: " + err.Error()}
}
