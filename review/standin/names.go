package main

import (
	_ "embed" // for names.json
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the platform's names that the stand-ins need, as its page spells them. They
// stand in one file, since the product's Go code keeps them in package platform.
var names = readNames()

// wireNames are headers and fields of bodies.
type wireNames struct {
	RequestID  string `json:"requestID"`
	TimeLeft   string `json:"timeLeft"`
	Instance   string `json:"instance"`
	NotRun     string `json:"notRun"`
	Signature  string `json:"signature"`
	WarmUp     string `json:"warmUp"`
	Prefix     string `json:"prefix"`
	Target     string `json:"target"`
	MaxServers string `json:"maxServers"`
	More       string `json:"more"`
	Revision   string `json:"revision"`
}

func readNames() (n wireNames) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
