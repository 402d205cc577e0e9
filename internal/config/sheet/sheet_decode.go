package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"lacewingramp.example/lacewingramp"
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Decode reads a Table from CSV and validates it. file is the name of the file
// for error messages. If the content is invalid, the error is of type
// lacewingramp.TableErrors and holds an element for every invalid value. Rows are
// counted as lines of the file.
func Decode(file string, r io.Reader) (*lacewingramp.Table, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	d := &decoder{file: file, rowNumbers: make(map[string][]int)}
	if len(raw) > MaxBytes {
		d.addError(1, "", strconv.Itoa(len(raw))+" bytes or more", "at most "+strconv.Itoa(MaxBytes)+" bytes")
		return nil, d.tableErrors
	}
	d.readRows(bytes.TrimPrefix(raw, byteOrderMark))
	d.checkTable()
	if len(d.tableErrors) > 0 {
		sort.SliceStable(d.tableErrors, func(i, j int) bool { return d.tableErrors[i].Row < d.tableErrors[j].Row })
		return nil, d.tableErrors
	}
	return &d.table, nil
}

type decoder struct {
	file        string
	table       lacewingramp.Table
	header      []string
	rowNumbers  map[string][]int
	tableErrors lacewingramp.TableErrors
}

func (d *decoder) addError(row int, column, value, expected string) {
	d.tableErrors = append(d.tableErrors, lacewingramp.TableError{
		File: d.file, Row: row, Column: column, Value: value, Expected: expected,
	})
}

func (d *decoder) readRows(raw []byte) {
	r := csv.NewReader(bytes.NewReader(raw))
	r.FieldsPerRecord = -1
	r.Comment = '#'
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.addSyntaxError(err)
			return
		}
		row, _ := r.FieldPos(0)
		d.readRow(row, cells)
	}
	if d.header == nil {
		d.addError(1, "", "", "a header with the names of the columns, the first of which is row")
	}
}

func (d *decoder) addSyntaxError(err error) {
	var p *csv.ParseError
	if !errors.As(err, &p) {
		d.addError(1, "", err.Error(), "a CSV file")
		return
	}
	d.addError(p.Line, "", p.Err.Error(), "valid CSV, in which a quote within a quoted cell is doubled")
}

func (d *decoder) readRow(row int, cells []string) {
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	for len(cells) > 0 && cells[len(cells)-1] == "" {
		cells = cells[:len(cells)-1]
	}
	if len(cells) == 0 {
		return
	}
	if d.header == nil {
		d.readHeader(row, cells)
		return
	}
	d.readTableRow(row, cells)
}

func (d *decoder) readHeader(row int, cells []string) {
	d.header = cells
	seen := make(map[string]bool)
	if cells[0] != kindColumn {
		d.addError(row, cells[0], cells[0], "row as the name of the first column")
	}
	for _, c := range cells {
		if seen[c] {
			d.addError(row, c, c, "each column once")
		}
		seen[c] = true
		if !isColumn(c) {
			d.addError(row, c, c, "one of the columns "+strings.Join(columns, ", "))
		}
	}
}

func isColumn(name string) bool {
	for _, c := range columns {
		if c == name {
			return true
		}
	}
	return false
}

func (d *decoder) readTableRow(row int, cells []string) {
	k, ok := rowKinds[cells[0]]
	if !ok {
		d.addError(row, kindColumn, cells[0], "one of the kinds of row "+kindNames())
		return
	}
	if len(cells) > len(d.header) {
		d.addError(row, "", cells[len(d.header)], "at most "+strconv.Itoa(len(d.header))+" cells")
		return
	}
	list := reflect.ValueOf(&d.table).Elem().Field(k.fieldIndex)
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
	element := list.Index(list.Len() - 1)
	d.rowNumbers[k.name] = append(d.rowNumbers[k.name], row)
	for i := 1; i < len(cells); i++ {
		d.readCell(row, k, element, d.header[i], cells[i])
	}
}

func (d *decoder) readCell(row int, k rowKind, element reflect.Value, column, text string) {
	if text == "" {
		return
	}
	field, ok := k.columns[column]
	if !ok {
		d.addError(row, column, text, "an empty cell, because "+k.name+" rows have only the columns "+strings.Join(k.columnNames, ", "))
		return
	}
	if expected := setField(element.Field(field), text); expected != "" {
		d.addError(row, column, text, expected)
	}
}

func kindNames() string {
	names := make([]string, 0, len(rowKinds))
	for n := range rowKinds {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (d *decoder) checkTable() {
	if len(d.tableErrors) > 0 {
		return
	}
	var tableErrors lacewingramp.TableErrors
	if !errors.As(d.table.Check(), &tableErrors) {
		return
	}
	for _, f := range tableErrors {
		f.File = d.file
		f.Row = d.rowNumbers[f.Kind][f.Index]
		d.tableErrors = append(d.tableErrors, f)
	}
}
