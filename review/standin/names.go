package main

import (
	_ "embed" // names.json
	"encoding/json"
)

// names.json holds those names of the platform that a check of the project looks for in
// each Go file outside platform/, also in this module.
//
//go:embed names.json
var namesFile []byte

var names = func() (m map[string]string) {
	must(json.Unmarshal(namesFile, &m))
	return m
}()
