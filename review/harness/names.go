package main

import (
	_ "embed" // for names.json
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds headers and fields of the platform's protocol. TestBoundary in package
// platform keeps them out of the Go code of other packages.
var names = readNames()

type wireNames struct {
	Caller      string `json:"caller"`
	Deadline    string `json:"deadline"`
	Expected    string `json:"expected"`
	NotExecuted string `json:"notExecuted"`
	RequestID   string `json:"requestID"`
	Signature   string `json:"signature"`
	Anonymous   string `json:"anonymous"`
	Cold        string `json:"cold"`
	More        string `json:"more"`
	Prefix      string `json:"prefix"`
	Revision    string `json:"revision"`
	Servers     string `json:"servers"`
	Target      string `json:"target"`
}

func readNames() (n wireNames) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
