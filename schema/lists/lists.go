// Package lists defines the types and the JSON Schemas of the two lists that
// operators edit: the plan of each customer, and the services that each plan may use.
package lists

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p lists -o customers.gen.go customers.schema.json
//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p lists -o plans.gen.go plans.schema.json

// CustomersSchema is the JSON Schema of [CustomerList].
//
//go:embed customers.schema.json
var CustomersSchema []byte

// PlansSchema is the JSON Schema of [PlanList].
//
//go:embed plans.schema.json
var PlansSchema []byte
