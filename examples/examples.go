// Package examples embeds the tables of two example deployments, at their current
// sizes.
//
// # Usage
//
//	table, err := sheet.Decode("bank/table.csv", bytes.NewReader(examples.Bank))
package examples

import _ "embed" // required by the go:embed directives below

// Bank and Kavach are the tables as CSV.
var (
	//go:embed bank/table.csv
	Bank []byte
	//go:embed kavach/table.csv
	Kavach []byte
)

// KeyPrefix followed by the name of a customer is the customer's key in both tables.
const KeyPrefix = "demo-"
