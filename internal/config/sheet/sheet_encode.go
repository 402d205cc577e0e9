package sheet

import (
	"encoding/csv"
	"io"
	"reflect"

	"lacewingramp.example/lacewingramp"
)

// Encode writes a Table as a sheet that Decode reads back unchanged, but for
// the revision, edit, operator and moment of its commit.
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
		k := kinds[wireName(v.Type().Field(i))]
		if err := encodeKind(c, k, v.Field(i)); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

func encodeKind(c *csv.Writer, k kind, list reflect.Value) error {
	for i := range list.Len() {
		cells := make([]string, len(columns))
		cells[0] = k.name
		for n, name := range columns {
			if f, ok := k.columns[name]; ok {
				cells[n] = cellText(list.Index(i).Field(f))
			}
		}
		if err := c.Write(cells); err != nil {
			return err
		}
	}
	return nil
}
