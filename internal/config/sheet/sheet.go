// Package sheet reads and writes a Table as CSV, the form in which operators
// edit it.
//
// The first line names the columns. The first column, row, holds the kind of
// each row: region, domain, service, route, version, target, customer, key,
// cap, link, rollout or block. A cell whose column the kind does not use is
// left empty. A byte order mark, CRLF line ends, quoted cells, empty lines,
// lines that begin with # and empty columns at the end are accepted.
//
// # Usage
//
//	table, err := sheet.Decode("table.csv", file)
//	var faults lacewingramp.TableErrors
//	if errors.As(err, &faults) {
//		// Each fault names file, row, column, value and what is allowed.
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

// MaxBytes is the largest sheet that is read, which keeps the table below
// the size of a value of the store.
const MaxBytes = 1 << 20

const kindColumn = "row"

// kind is one kind of row: a slice field of the Table.
type kind struct {
	name    string
	field   int
	columns map[string]int
	order   []string
}

var kinds, columns = readKinds()

func readKinds() (map[string]kind, []string) {
	all := make(map[string]kind)
	order := []string{kindColumn}
	seen := make(map[string]bool)
	t := reflect.TypeFor[lacewingramp.Table]()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type.Kind() != reflect.Slice {
			continue
		}
		k := readKind(f, i)
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

func readKind(f reflect.StructField, index int) kind {
	k := kind{name: wireName(f), field: index, columns: make(map[string]int)}
	e := f.Type.Elem()
	for i := range e.NumField() {
		c := wireName(e.Field(i))
		k.columns[c] = i
		k.order = append(k.order, c)
	}
	return k
}

func wireName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// setCell reads text into a field and returns what is allowed where the text
// is not.
func setCell(v reflect.Value, text string) (want string) {
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

// cellText returns a field as it stands in a cell, empty for a zero value.
func cellText(v reflect.Value) string {
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
