package demo

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/table"
)

func TestTheDemonstrationsTablesAreValid(t *testing.T) {
	check := is.New(t)
	directory := t.TempDir()
	for _, budget := range []string{firstBudget, changedBudget} {
		path, err := writeTable(directory, "table.csv", budget)
		check.NoErr(err)
		content, err := os.ReadFile(path)
		check.NoErr(err)
		parsed, err := table.Parse(content)
		check.NoErr(err)
		check.Equal(parsed.Classes[className].Model, modelName)
		check.Equal(parsed.Models[modelName].Service, engineService)
	}
}
