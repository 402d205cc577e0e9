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

// Decode reads a Table from CSV and validates it. If the content is invalid,
// the error is of type lacewingramp.TableErrors and lists every fault with its file
// and row.
func Decode(file string, r io.Reader) (*lacewingramp.Table, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	d := &decoder{file: file, rowNumbers: make(map[string][]int)}
	if len(raw) > MaxBytes {
		d.addFault(1, "", strconv.Itoa(len(raw))+" bytes or more", "at most "+strconv.Itoa(MaxBytes)+" bytes")
		return nil, d.faults
	}
	d.readRows(bytes.TrimPrefix(raw, byteOrderMark))
	d.checkTable()
	if len(d.faults) > 0 {
		sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Row < d.faults[j].Row })
		return nil, d.faults
	}
	return &d.table, nil
}

type decoder struct {
	file       string
	table      lacewingramp.Table
	header     []string
	rowNumbers map[string][]int
	faults     lacewingramp.TableErrors
}

func (d *decoder) addFault(row int, column, value, allowed string) {
	d.faults = append(d.faults, lacewingramp.TableError{
		File: d.file, Row: row, Column: column, Value: value, Expected: allowed,
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
			d.addSyntaxFault(err)
			return
		}
		row, _ := r.FieldPos(0)
		d.readRow(row, cells)
	}
	if d.header == nil {
		d.addFault(1, "", "", "a first line that names the columns, beginning with row")
	}
}

func (d *decoder) addSyntaxFault(err error) {
	var p *csv.ParseError
	if !errors.As(err, &p) {
		d.addFault(1, "", err.Error(), "a CSV file")
		return
	}
	d.addFault(p.Line, "", p.Err.Error(), "cells in CSV form, with quotes doubled inside quotes")
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
	d.readEntry(row, cells)
}

func (d *decoder) readHeader(row int, cells []string) {
	d.header = cells
	seen := make(map[string]bool)
	if cells[0] != kindColumn {
		d.addFault(row, cells[0], cells[0], "row as the first column")
	}
	for _, c := range cells {
		if seen[c] {
			d.addFault(row, c, c, "each column once")
		}
		seen[c] = true
		if !isColumn(c) {
			d.addFault(row, c, c, "one of the columns "+strings.Join(columns, ", "))
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

func (d *decoder) readEntry(row int, cells []string) {
	k, ok := rowKinds[cells[0]]
	if !ok {
		d.addFault(row, kindColumn, cells[0], "a kind of row: "+kindNames())
		return
	}
	if len(cells) > len(d.header) {
		d.addFault(row, "", cells[len(d.header)], "at most "+strconv.Itoa(len(d.header))+" cells")
		return
	}
	list := reflect.ValueOf(&d.table).Elem().Field(k.field)
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
	e := list.Index(list.Len() - 1)
	d.rowNumbers[k.name] = append(d.rowNumbers[k.name], row)
	for i := 1; i < len(cells); i++ {
		d.readCell(row, k, e, d.header[i], cells[i])
	}
}

func (d *decoder) readCell(row int, k rowKind, e reflect.Value, column, text string) {
	if text == "" {
		return
	}
	field, ok := k.columns[column]
	if !ok {
		d.addFault(row, column, text, "an empty cell, as "+k.name+" rows use "+strings.Join(k.order, ", "))
		return
	}
	if allowed := setField(e.Field(field), text); allowed != "" {
		d.addFault(row, column, text, allowed)
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
	if len(d.faults) > 0 {
		return
	}
	var faults lacewingramp.TableErrors
	if !errors.As(d.table.Check(), &faults) {
		return
	}
	for _, f := range faults {
		f.File = d.file
		f.Row = d.rowNumbers[f.Kind][f.Index]
		d.faults = append(d.faults, f)
	}
}
