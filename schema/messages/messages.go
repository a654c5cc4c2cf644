// Package messages defines the types and the JSON Schema of the messages between nodes.
package messages

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p messages -o messages.gen.go messages.schema.json
