package main

import (
	_ "embed" // names.json
	"encoding/json"
)

// names.json holds those names of the platform that platform_test.go looks for in each Go file
// outside platform/. The stand-ins of the platform need them.
//
//go:embed names.json
var namesFile []byte

var names = func() (m map[string]string) {
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
