// Package examples embeds the tables of two example deployments, at their current
// sizes.
//
// # Usage
//
//	table, err := sheet.Decode("bank/table.csv", bytes.NewReader(examples.Bank))
package examples

import _ "embed" // required by the go:embed directives below

// Tables of the two deployments as CSV.
var (
	//go:embed bank/table.csv
	Bank []byte
	//go:embed kavach/table.csv
	Kavach []byte
)

// KeyPrefix is the text before a customer's name in its key, in both tables.
const KeyPrefix = "demo-"
