package sheet

import (
	"encoding/csv"
	"io"
	"reflect"

	"lacewingramp.example/lacewingramp"
)

// Encode writes the rows of a Table as CSV. Decode of the output returns the same
// rows. Fields that are not lists of rows are not written: the bounds, and the
// revision, split, edit id, operator and time of the last commit, and the audit trail.
func Encode(w io.Writer, t *lacewingramp.Table) error {
	c := csv.NewWriter(w)
	if err := c.Write(columns); err != nil {
		return err
	}
	v := reflect.ValueOf(t).Elem()
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Slice {
			continue
		}
		k := rowKinds[columnName(v.Type().Field(i))]
		if err := encodeKind(c, k, v.Field(i)); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

func encodeKind(c *csv.Writer, k rowKind, list reflect.Value) error {
	for i := range list.Len() {
		cells := make([]string, len(columns))
		cells[0] = k.name
		for n, name := range columns {
			if f, ok := k.columns[name]; ok {
				cells[n] = formatField(list.Index(i).Field(f))
			}
		}
		if err := c.Write(cells); err != nil {
			return err
		}
	}
	return nil
}
