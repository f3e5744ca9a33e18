package table

import (
	"bytes"
	"encoding/csv"
	"maps"
	"slices"
)

// Format returns the rows of t as CSV, which Parse converts back to the same rows.
// Defaults are explicit; rows are sorted by kind and name.
func Format(t *Table) []byte {
	var output bytes.Buffer
	writer := csv.NewWriter(&output)
	records := [][]string{columnNames()}
	for _, r := range t.rows() {
		record := []string{string(r.kind), r.name}
		for _, c := range columns {
			record = append(record, c.text(&r))
		}
		records = append(records, record)
	}
	_ = writer.WriteAll(records) // writes to a buffer do not fail
	return output.Bytes()
}

// text returns the cell of r, empty if its kind does not have the column.
func (c column) text(r *row) string {
	if !slices.Contains(c.Kinds, r.kind) {
		return ""
	}
	return c.get(r)
}

// rows returns all rows, sorted by kind and name.
func (t *Table) rows() []row {
	var all []row
	for _, name := range slices.Sorted(maps.Keys(t.Models)) {
		all = append(all, row{kind: KindModel, name: name, model: t.Models[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Adapters)) {
		all = append(all, row{kind: KindAdapter, name: name, adapter: t.Adapters[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Classes)) {
		all = append(all, row{kind: KindClass, name: name, class: t.Classes[name]})
	}
	return all
}

// ChangeAction is the kind of a Change.
type ChangeAction string

// The actions of changes.
const (
	RowAdded   ChangeAction = "added"
	RowRemoved ChangeAction = "removed"
	RowChanged ChangeAction = "changed"
)

// Change is one difference between two tables: an added or removed row, or a changed
// cell of a row that is in both.
type Change struct {
	Action ChangeAction `json:"action"`
	Kind   Kind         `json:"kind"`
	Name   string       `json:"name"`
	Column string       `json:"column,omitempty"`
	Old    string       `json:"old,omitempty"`
	New    string       `json:"new,omitempty"`
}

// Diff returns the changes from the rows of older to those of newer. Either may be
// nil.
func Diff(older, newer *Table) []Change {
	before, after := rowsByKey(older), rowsByKey(newer)
	var changes []Change
	for _, r := range before.order {
		if _, found := after.rows[keyOf(r)]; !found {
			changes = append(changes, Change{Action: RowRemoved, Kind: r.kind, Name: r.name})
		}
	}
	for _, r := range after.order {
		old, found := before.rows[keyOf(r)]
		if !found {
			changes = append(changes, Change{Action: RowAdded, Kind: r.kind, Name: r.name})
			continue
		}
		changes = append(changes, diffCells(old, r)...)
	}
	return changes
}

func diffCells(old, current row) []Change {
	var changes []Change
	for _, c := range columns {
		if from, to := c.text(&old), c.text(&current); from != to {
			changes = append(changes, Change{
				Action: RowChanged, Kind: current.kind, Name: current.name, Column: c.Name, Old: from, New: to,
			})
		}
	}
	return changes
}

type rowKey struct {
	kind Kind
	name string
}

func keyOf(r row) rowKey { return rowKey{kind: r.kind, name: r.name} }

type keyedRows struct {
	order []row
	rows  map[rowKey]row
}

func rowsByKey(t *Table) keyedRows {
	result := keyedRows{rows: map[rowKey]row{}}
	if t == nil {
		return result
	}
	result.order = t.rows()
	for _, r := range result.order {
		result.rows[keyOf(r)] = r
	}
	return result
}
