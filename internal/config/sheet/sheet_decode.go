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

// Decode reads a sheet and checks the Table. The error of a bad sheet is of
// type lacewingramp.TableErrors and names every fault with its file and row.
func Decode(file string, r io.Reader) (*lacewingramp.Table, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	d := &decoder{file: file, rows: make(map[string][]int)}
	if len(raw) > MaxBytes {
		d.fault(1, "", strconv.Itoa(len(raw))+" bytes or more", "at most "+strconv.Itoa(MaxBytes)+" bytes")
		return nil, d.faults
	}
	d.read(bytes.TrimPrefix(raw, byteOrderMark))
	d.check()
	if len(d.faults) > 0 {
		sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Row < d.faults[j].Row })
		return nil, d.faults
	}
	return &d.table, nil
}

type decoder struct {
	file   string
	table  lacewingramp.Table
	header []string
	rows   map[string][]int
	faults lacewingramp.TableErrors
}

func (d *decoder) fault(row int, column, value, want string) {
	d.faults = append(d.faults, lacewingramp.TableError{
		File: d.file, Row: row, Column: column, Value: value, Expected: want,
	})
}

func (d *decoder) read(raw []byte) {
	r := csv.NewReader(bytes.NewReader(raw))
	r.FieldsPerRecord = -1
	r.Comment = '#'
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.syntax(err)
			return
		}
		row, _ := r.FieldPos(0)
		d.line(row, cells)
	}
	if d.header == nil {
		d.fault(1, "", "", "a first line that names the columns, beginning with row")
	}
}

func (d *decoder) syntax(err error) {
	var p *csv.ParseError
	if !errors.As(err, &p) {
		d.fault(1, "", err.Error(), "a CSV file")
		return
	}
	d.fault(p.Line, "", p.Err.Error(), "cells in CSV form, with quotes doubled inside quotes")
}

func (d *decoder) line(row int, cells []string) {
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
		d.head(row, cells)
		return
	}
	d.entry(row, cells)
}

func (d *decoder) head(row int, cells []string) {
	d.header = cells
	seen := make(map[string]bool)
	if cells[0] != kindColumn {
		d.fault(row, cells[0], cells[0], "row as the first column")
	}
	for _, c := range cells {
		if seen[c] {
			d.fault(row, c, c, "each column once")
		}
		seen[c] = true
		if !isColumn(c) {
			d.fault(row, c, c, "one of the columns "+strings.Join(columns, ", "))
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

func (d *decoder) entry(row int, cells []string) {
	k, ok := kinds[cells[0]]
	if !ok {
		d.fault(row, kindColumn, cells[0], "a kind of row: "+kindNames())
		return
	}
	if len(cells) > len(d.header) {
		d.fault(row, "", cells[len(d.header)], "at most "+strconv.Itoa(len(d.header))+" cells")
		return
	}
	list := reflect.ValueOf(&d.table).Elem().Field(k.field)
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
	e := list.Index(list.Len() - 1)
	d.rows[k.name] = append(d.rows[k.name], row)
	for i := 1; i < len(cells); i++ {
		d.cell(row, k, e, d.header[i], cells[i])
	}
}

func (d *decoder) cell(row int, k kind, e reflect.Value, column, text string) {
	if text == "" {
		return
	}
	field, ok := k.columns[column]
	if !ok {
		d.fault(row, column, text, "an empty cell, as "+k.name+" rows use "+strings.Join(k.order, ", "))
		return
	}
	if want := setCell(e.Field(field), text); want != "" {
		d.fault(row, column, text, want)
	}
}

func kindNames() string {
	names := make([]string, 0, len(kinds))
	for n := range kinds {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (d *decoder) check() {
	if len(d.faults) > 0 {
		return
	}
	var faults lacewingramp.TableErrors
	if !errors.As(d.table.Check(), &faults) {
		return
	}
	for _, f := range faults {
		f.File = d.file
		f.Row = d.rows[f.Kind][f.Index]
		d.faults = append(d.faults, f)
	}
}
