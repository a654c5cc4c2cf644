// Package messages defines the types of the messages between the nodes that the command
// lavenderdeal runs, and of the headers with which they forward calls. The types are
// generated from the JSON Schema in messages.schema.json.
//
// Package roster has the messages of the command lavenderdeald, which also uses Hello,
// Empty, and the messages about crashes of this package.
package messages

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p messages -o messages.gen.go messages.schema.json
