// Package sheet decodes and encodes a Table as CSV, the format in which
// operators edit it.
//
// The first line is the header with the names of the columns. The first
// column, "row", holds the kind of each row: region, domain, service, route,
// version, target, customer, key, cap, link, rollout or block. Cells of columns
// that do not apply to the kind must be empty. Decode accepts a byte order
// mark, CRLF line endings, quoted cells, empty lines, comment lines that begin
// with # and trailing empty columns.
//
// # Usage
//
//	table, err := sheet.Decode("table.csv", file)
//	var faults lacewingramp.TableErrors
//	if errors.As(err, &faults) {
//		// Each fault names the file, row, column, value and what is allowed.
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

// MaxBytes is the maximum size of a CSV file. It keeps the table within the
// maximum size of a value in the store.
const MaxBytes = 1 << 20

const kindColumn = "row"

// rowKind describes a kind of row, which is a slice field of the Table. field is
// the index of that field. columns maps the names of the kind's columns to the
// indexes of the fields of a row, and order lists these names as declared.
type rowKind struct {
	name    string
	field   int
	columns map[string]int
	order   []string
}

var rowKinds, columns = rowKindsOfTable()

func rowKindsOfTable() (map[string]rowKind, []string) {
	all := make(map[string]rowKind)
	order := []string{kindColumn}
	seen := make(map[string]bool)
	t := reflect.TypeFor[lacewingramp.Table]()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type.Kind() != reflect.Slice {
			continue
		}
		k := newRowKind(f, i)
		all[k.name] = k
		for _, c := range k.order {
			if !seen[c] {
				seen[c] = true
				order = append(order, c)
			}
		}
	}
	return all, order
}

func newRowKind(f reflect.StructField, index int) rowKind {
	k := rowKind{name: columnName(f), field: index, columns: make(map[string]int)}
	e := f.Type.Elem()
	for i := range e.NumField() {
		c := columnName(e.Field(i))
		k.columns[c] = i
		k.order = append(k.order, c)
	}
	return k
}

func columnName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// setField parses text into a field. If the text is invalid, it returns a
// description of the allowed values, otherwise an empty string.
func setField(v reflect.Value, text string) (allowed string) {
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

// formatField returns the text of a field's cell. Zero values give an empty
// cell, except for numbers.
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
