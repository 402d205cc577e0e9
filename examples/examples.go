// Package examples holds the tables of two deployments, at their sizes of
// today.
//
// # Usage
//
//	table, err := sheet.Decode("bank/table.csv", bytes.NewReader(examples.Bank))
package examples

import _ "embed" // the tables are part of the program

// Bank is the table of the bank, and Kavach that of Kavach.
var (
	//go:embed bank/table.csv
	Bank []byte
	//go:embed kavach/table.csv
	Kavach []byte
)

// KeyPrefix makes a customer's name its key in both tables.
const KeyPrefix = "demo-"
