// Package sheet decodes and encodes a Table as CSV, the format in which
// operators edit it.
//
// The first line is the header with the names of the columns. The first
// column, "row", holds the kind of each row: region, domain, service, route,
// version, target, customer, key, cap, link, rollout or block. Each kind uses
// some of the other columns; the cells of all others must be empty. The kinds
// and the columns are the JSON names of the fields of Table and of its rows.
//
// Decode accepts a byte order mark, CRLF line endings, quoted cells, empty
// lines, comment lines that begin with # and trailing empty columns.
//
// # Usage
//
//	table, err := sheet.Decode("table.csv", file)
//	var invalid lacewingramp.TableErrors
//	if errors.As(err, &invalid) {
//		// Each element has the file, row, column and value, and the values expected.
//	}
//	err = sheet.Encode(os.Stdout, table)
package sheet

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
)

// MaxBytes is the maximum size of a CSV file. It equals the maximum size of a
// value in the store, because the whole table is stored as one value.
const MaxBytes = 1 << 20

const kindColumn = "row"

// rowKind describes a kind of row. Each slice field of Table is one kind: name is
// the field's JSON name, fieldIndex its index, and its elements are the rows. columns
// maps the names of the kind's columns to the field indexes of an element, and
// columnNames lists these names in the order of the fields.
type rowKind struct {
	name        string
	fieldIndex  int
	columns     map[string]int
	columnNames []string
}

var rowKinds, columns = rowKindsOfTable()

func rowKindsOfTable() (map[string]rowKind, []string) {
	kinds := make(map[string]rowKind)
	columnNames := []string{kindColumn}
	seen := make(map[string]bool)
	t := reflect.TypeFor[lacewingramp.Table]()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type.Kind() != reflect.Slice {
			continue
		}
		k := newRowKind(f, i)
		kinds[k.name] = k
		for _, c := range k.columnNames {
			if !seen[c] {
				seen[c] = true
				columnNames = append(columnNames, c)
			}
		}
	}
	return kinds, columnNames
}

func newRowKind(f reflect.StructField, index int) rowKind {
	k := rowKind{name: columnName(f), fieldIndex: index, columns: make(map[string]int)}
	element := f.Type.Elem()
	for i := range element.NumField() {
		c := columnName(element.Field(i))
		k.columns[c] = i
		k.columnNames = append(k.columnNames, c)
	}
	return k
}

func columnName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// setField parses text and sets a field to the value. If the text is invalid,
// it returns a description of the expected values for TableError.Expected,
// otherwise an empty string.
func setField(v reflect.Value, text string) (expected string) {
	if _, ok := v.Interface().(time.Time); ok {
		return setTime(v, text)
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return setText(u, text)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		return setBool(v, text)
	case reflect.Int:
		return setInt(v, text)
	default:
		return setFloat(v, text)
	}
	return ""
}

func setTime(v reflect.Value, text string) string {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return "a time such as 2027-01-31T18:00:00Z"
	}
	v.Set(reflect.ValueOf(t))
	return ""
}

func setText(u encoding.TextUnmarshaler, text string) string {
	if err := u.UnmarshalText([]byte(text)); err != nil {
		return strings.TrimPrefix(err.Error(), "want ")
	}
	return ""
}

func setBool(v reflect.Value, text string) string {
	switch strings.ToLower(text) {
	case "yes", "true":
		v.SetBool(true)
	case "no", "false":
		v.SetBool(false)
	default:
		return "yes or no"
	}
	return ""
}

func setInt(v reflect.Value, text string) string {
	n, err := strconv.Atoi(text)
	if err != nil {
		return "a whole number"
	}
	v.SetInt(int64(n))
	return ""
}

func setFloat(v reflect.Value, text string) string {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "a number"
	}
	v.SetFloat(n)
	return ""
}

// formatField returns the text of a cell for a field. It is empty for a zero
// value, except that a number is written as 0.
func formatField(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Float64 && v.Kind() != reflect.Int {
		return ""
	}
	if t, ok := v.Interface().(time.Time); ok {
		return t.Format(time.RFC3339)
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, _ := m.MarshalText()
		return string(text)
	}
	switch v.Kind() {
	case reflect.Bool:
		return "yes"
	case reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	default:
		return v.String()
	}
}
