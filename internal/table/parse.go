package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"stepseam.example/stepseam/internal/suggest"
)

// Finding is one error in a table with its position.
type Finding struct {
	// Row is the row's number as shown by spreadsheets, where the header is 1. 0
	// means the whole file.
	Row int
	// Column is the column's name; empty means the whole row.
	Column  string
	Message string
}

// Place returns the position as text.
func (f Finding) Place() string {
	switch {
	case f.Row == 0:
		return "table"
	case f.Column == "":
		return fmt.Sprintf("row %d", f.Row)
	}
	return fmt.Sprintf("row %d, column %s", f.Row, f.Column)
}

// String returns "row 7, column max_calls: message".
func (f Finding) String() string { return f.Place() + ": " + f.Message }

// InvalidError is returned for an invalid table, with all findings.
type InvalidError struct{ Findings []Finding }

// Error returns one line per finding.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("table: %d finding(s)", len(e.Findings)))
	for _, finding := range e.Findings {
		lines = append(lines, "  "+finding.String())
	}
	return strings.Join(lines, "\n")
}

// Parse parses a table from CSV as written by spreadsheets: with or without a byte
// order mark, quotes, CRLF, and trailing empty rows and columns; separated by commas,
// or by semicolons or tabs, as detected from the header. With semicolons a decimal
// comma is accepted as well. All errors are returned together as an *InvalidError; a
// table with any error is rejected as a whole.
func Parse(content []byte) (*Table, error) {
	sheet, findings := readSheet(content)
	builder := newBuilder(sheet, findings)
	for _, line := range sheet.lines {
		builder.line(line)
	}
	builder.checkReferences()
	if len(builder.findings) > 0 {
		return nil, &InvalidError{Findings: builder.sorted()}
	}
	return builder.table, nil
}

// sheet is a CSV file split into cells.
type sheet struct {
	header       []string
	headerRow    int
	lines        []line
	decimalComma bool
}

// line is one row below the header, with its number in the spreadsheet.
type line struct {
	row   int
	cells []string
}

func (l line) cell(index int) string {
	if index >= len(l.cells) {
		return "" // spreadsheets omit trailing empty cells
	}
	return strings.TrimSpace(l.cells[index])
}

func (l line) empty() bool {
	for index := range l.cells {
		if l.cell(index) != "" {
			return false
		}
	}
	return true
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// readSheet splits content into cells and finds the header.
func readSheet(content []byte) (sheet, []Finding) {
	content = bytes.TrimPrefix(content, byteOrderMark)
	if !utf8.Valid(content) {
		return sheet{}, []Finding{{Message: "not UTF-8; save the sheet as CSV UTF-8"}}
	}
	if !bytes.ContainsRune(content, '\n') {
		content = bytes.ReplaceAll(content, []byte{'\r'}, []byte{'\n'})
	}
	separator, content := findSeparator(content)
	lines, findings := readLines(content, separator)
	result := sheet{decimalComma: separator == ';'}
	for index, one := range lines {
		if one.empty() {
			continue
		}
		result.headerRow = one.row
		for column := range one.cells {
			result.header = append(result.header, strings.ToLower(one.cell(column)))
		}
		result.lines = lines[index+1:]
		return result, findings
	}
	return result, append(findings, Finding{Message: "empty; the first row names the columns, beginning with kind and name"})
}

// findSeparator returns the separator that occurs most often in the first line outside
// quotes, and the content to parse. A leading "sep=;" line, as written by some
// spreadsheets, defines the separator and is removed, since spreadsheets do not count
// it as a row.
func findSeparator(content []byte) (rune, []byte) {
	first, rest, _ := bytes.Cut(bytes.TrimLeft(content, "\r\n"), []byte{'\n'})
	named := bytes.TrimRight(first, "\r")
	if len(named) == len("sep=;") && bytes.EqualFold(named[:4], []byte("sep=")) {
		return rune(named[4]), rest
	}
	best, most := ',', 0
	for _, candidate := range []rune{',', ';', '\t'} {
		if count := countOutsideQuotes(first, candidate); count > most {
			best, most = candidate, count
		}
	}
	return best, content
}

func countOutsideQuotes(text []byte, wanted rune) int {
	count, quoted := 0, false
	for _, char := range string(text) {
		switch char {
		case '"':
			quoted = !quoted
		case wanted:
			if !quoted {
				count++
			}
		}
	}
	return count
}

// readLines splits content into rows. The CSV reader silently skips blank lines, and a
// quoted cell may span lines; therefore row numbers are computed by comparing the line
// at which each record starts with that at which the previous one ended.
func readLines(content []byte, separator rune) ([]line, []Finding) {
	reader := csv.NewReader(bytes.NewReader(content))
	reader.Comma = separator
	reader.FieldsPerRecord = -1
	var lines []line
	var findings []Finding
	row, nextLine, offset := 0, 1, int64(0)
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return lines, findings
		}
		startLine := nextLine
		var fault *csv.ParseError
		switch {
		case errors.As(err, &fault):
			startLine = fault.StartLine
		case err != nil:
			return lines, append(findings, Finding{Message: err.Error()})
		default:
			startLine, _ = reader.FieldPos(0)
		}
		row += 1 + startLine - nextLine
		nextLine += bytes.Count(content[offset:reader.InputOffset()], []byte{'\n'})
		offset = reader.InputOffset()
		if fault != nil {
			findings = append(findings, Finding{Row: row, Message: "broken quotes: " + fault.Err.Error()})
			continue
		}
		lines = append(lines, line{row: row, cells: cells})
	}
}

// didYouMean returns "; did you mean x?" if a known name is similar, else "".
func didYouMean(name string, known []string) string {
	if nearest := suggest.Nearest(name, known); nearest != "" {
		return fmt.Sprintf("; did you mean %s?", nearest)
	}
	return ""
}
