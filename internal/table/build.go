package table

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// builder converts cells to a table and collects findings.
type builder struct {
	sheet    sheet
	table    *Table
	findings []Finding
	// index maps column names to positions in a line.
	index map[string]int
	// rows maps names to row numbers, for the checks across rows.
	rows map[Kind]map[string]int
}

func newBuilder(s sheet, findings []Finding) *builder {
	b := &builder{
		sheet:    s,
		findings: findings,
		index:    map[string]int{},
		rows:     map[Kind]map[string]int{},
		table: &Table{
			Models:   map[string]Model{},
			Adapters: map[string]Adapter{},
			Classes:  map[string]Class{},
		},
	}
	for _, kind := range kinds {
		b.rows[kind] = map[string]int{}
	}
	b.readHeader()
	return b
}

func (b *builder) add(row int, column, format string, arguments ...any) {
	b.findings = append(b.findings, Finding{Row: row, Column: column, Message: fmt.Sprintf(format, arguments...)})
}

// sorted returns the findings sorted by row, in the order of columns within a row.
func (b *builder) sorted() []Finding {
	slices.SortStableFunc(b.findings, func(x, y Finding) int { return cmp.Compare(x.Row, y.Row) })
	return b.findings
}

func columnNames() []string {
	names := []string{columnKind, columnName}
	for _, c := range columns {
		names = append(names, c.Name)
	}
	return names
}

func (b *builder) readHeader() {
	if b.sheet.header == nil {
		return
	}
	known := columnNames()
	for index, name := range b.sheet.header {
		_, twice := b.index[name]
		switch {
		case name == "":
		case twice:
			b.add(b.sheet.headerRow, name, "the column is there twice")
		case !slices.Contains(known, name):
			b.add(b.sheet.headerRow, name, "unknown column%s", didYouMean(name, known))
		default:
			b.index[name] = index
		}
	}
	for _, name := range []string{columnKind, columnName} {
		if _, found := b.index[name]; !found {
			b.add(b.sheet.headerRow, name, "the column is missing")
		}
	}
}

// line parses one row below the header.
func (b *builder) line(l line) {
	kindIndex, hasKind := b.index[columnKind]
	nameIndex, hasName := b.index[columnName]
	if l.empty() || !hasKind || !hasName {
		return
	}
	b.checkUnnamedColumns(l)
	r := row{kind: Kind(strings.ToLower(l.cell(kindIndex))), name: l.cell(nameIndex)}
	if !slices.Contains(kinds, r.kind) {
		b.add(l.row, columnKind, "is %q, want model, adapter or class", l.cell(kindIndex))
		return
	}
	b.checkRowName(l.row, r)
	for _, c := range columns {
		b.cell(l, c, &r)
	}
	b.store(l.row, r)
}

func (b *builder) checkRowName(number int, r row) {
	if r.name == "" {
		b.add(number, columnName, "missing")
		return
	}
	if err := checkName(r.name); err != nil {
		b.add(number, columnName, "%s", err)
	}
	if first, found := b.rows[r.kind][r.name]; found {
		b.add(number, columnName, "%s %s is in row %d already", r.kind, r.name, first)
	}
}

func (b *builder) checkUnnamedColumns(l line) {
	for index := range l.cells {
		unnamed := index >= len(b.sheet.header) || b.sheet.header[index] == ""
		if unnamed && l.cell(index) != "" {
			b.add(l.row, fmt.Sprintf("number %d", index+1), "has %q under no column name", l.cell(index))
		}
	}
}

// cell parses one cell into the row.
func (b *builder) cell(l line, c column, r *row) {
	text := ""
	if index, found := b.index[c.Name]; found {
		text = l.cell(index)
	}
	if !slices.Contains(c.Kinds, r.kind) {
		if text != "" {
			b.add(l.row, c.Name, "is %q, but a %s has no such column; leave it empty", text, r.kind)
		}
		return
	}
	if text == "" {
		if c.Required {
			b.add(l.row, c.Name, "missing; want %s", c.Values)
			return
		}
		text = c.Default
	}
	if text == "" {
		return
	}
	if b.sheet.decimalComma && strings.HasPrefix(c.Values, "a number") {
		text = strings.Replace(text, ",", ".", 1)
	}
	if err := c.set(r, text); err != nil {
		b.add(l.row, c.Name, "%s", err)
	}
}

// store adds the row even if it has errors, so that rows that refer to it do not cause
// further findings.
func (b *builder) store(number int, r row) {
	if _, found := b.rows[r.kind][r.name]; found || r.name == "" {
		return
	}
	b.rows[r.kind][r.name] = number
	switch r.kind {
	case KindModel:
		r.model.Name = r.name
		b.table.Models[r.name] = r.model
	case KindAdapter:
		r.adapter.Name = r.name
		b.table.Adapters[r.name] = r.adapter
	case KindClass:
		r.class.Name = r.name
		b.table.Classes[r.name] = r.class
	}
}

// checkReferences checks the rows against each other.
func (b *builder) checkReferences() {
	_, hasKind := b.index[columnKind]
	_, hasName := b.index[columnName]
	if !hasKind || !hasName {
		return // no row was parsed, and the header already has findings
	}
	for _, model := range b.table.Models {
		b.checkModel(model)
	}
	for _, adapter := range b.table.Adapters {
		b.checkModelName(KindAdapter, adapter.Name, adapter.Model)
	}
	for _, class := range b.table.Classes {
		b.checkClass(class)
	}
	if len(b.table.Models) == 0 {
		b.add(0, "", "has no model row; at least one is needed")
	}
	if len(b.table.Classes) == 0 {
		b.add(0, "", "has no class row; at least one is needed")
	}
}

func (b *builder) checkModel(model Model) {
	if model.MaxReplicas > 0 && model.MinReplicas > model.MaxReplicas {
		b.add(b.rows[KindModel][model.Name], "min_replicas", "is %d, more than max_replicas (%d)", model.MinReplicas, model.MaxReplicas)
	}
}

func (b *builder) checkModelName(kind Kind, name, model string) {
	if _, found := b.table.Models[model]; model != "" && !found {
		known := slices.Sorted(maps.Keys(b.table.Models))
		b.add(b.rows[kind][name], "model", "there is no model %s%s", model, didYouMean(model, known))
	}
}

func (b *builder) checkClass(class Class) {
	number := b.rows[KindClass][class.Name]
	b.checkModelName(KindClass, class.Name, class.Model)
	b.checkAdapterName(number, class)
	model, found := b.table.Models[class.Model]
	if found && model.ContextTokens > 0 && class.MaxTokens >= model.ContextTokens {
		b.add(number, "max_tokens", "is %d, which leaves no room for a prompt in the %d context tokens of model %s",
			class.MaxTokens, model.ContextTokens, model.Name)
	}
	if class.BudgetTokens > 0 && int64(class.MaxTokens) > class.BudgetTokens {
		b.add(number, "max_tokens", "is %d, more than budget_tokens (%d)", class.MaxTokens, class.BudgetTokens)
	}
	if class.MaxDuration > 0 && class.CallTimeout > class.MaxDuration {
		b.add(number, "call_timeout", "is %s, more than max_duration (%s)",
			formatDuration(class.CallTimeout), formatDuration(class.MaxDuration))
	}
}

func (b *builder) checkAdapterName(number int, class Class) {
	if class.Adapter == "" {
		return
	}
	adapter, found := b.table.Adapters[class.Adapter]
	if !found {
		known := slices.Sorted(maps.Keys(b.table.Adapters))
		b.add(number, "adapter", "there is no adapter %s%s", class.Adapter, didYouMean(class.Adapter, known))
		return
	}
	if adapter.Model != class.Model {
		b.add(number, "adapter", "%s belongs to model %s, the class uses %s", class.Adapter, adapter.Model, class.Model)
	}
}
