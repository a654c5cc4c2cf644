// Package document decodes YAML and JSON documents and validates them against a
// JSON schema. It is used for settings, for lists of customers and plans, and for the
// objects in the platform.
//
// # Use
//
// A [Decoder] is built once for a schema and a type. Decode fills in the schema's
// defaults, validates the whole document and reports every fault with its field and
// line:
//
//	decoder, err := document.New[settings.Settings](settings.Schema, "")
//	cfg, err := decoder.Decode(data)
//	var faults document.Faults
//	if errors.As(err, &faults) {
//		for _, fault := range faults {
//			fmt.Println(fault)
//		}
//	}
package document

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Decoder decodes documents of one type. It is safe for concurrent use.
type Decoder[T any] struct {
	schema     *jsonschema.Schema
	root       map[string]any
	definition map[string]any
}

// New compiles a schema. The definition is the name of one of the schema's "$defs",
// or empty for the schema itself.
func New[T any](schema []byte, definition string) (*Decoder[T], error) {
	root, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, errors.New("schema is not an object")
	}
	compiler := jsonschema.NewCompiler()
	registerFormats(compiler)
	if err := compiler.AddResource("schema.json", root); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}
	location, target := "schema.json", object
	if definition != "" {
		location += "#/$defs/" + definition
		target = resolve(object, map[string]any{"$ref": "#/$defs/" + definition})
	}
	compiled, err := compiler.Compile(location)
	if err != nil {
		return nil, errors.Wrap(err, "compile schema")
	}
	return &Decoder[T]{schema: compiled, root: object, definition: target}, nil
}

// MustNew is like New but panics on an error. It is for schemas that are embedded
// in the program.
func MustNew[T any](schema []byte, definition string) *Decoder[T] {
	decoder, err := New[T](schema, definition)
	if err != nil {
		panic(err)
	}
	return decoder
}

// Override replaces the value of one field of a document; see [Decoder.DecodeWith].
type Override struct {
	// Field is the path of the field, such as "platform.address".
	Field string
	// Value is a string or an int.
	Value any
}

// Decode reads one YAML or JSON document. The error is of type [Faults].
func (d *Decoder[T]) Decode(data []byte) (T, error) {
	return d.DecodeWith(data, nil)
}

// DecodeWith is like Decode but applies the overrides to the document before it is
// validated.
func (d *Decoder[T]) DecodeWith(data []byte, overrides []Override) (T, error) {
	var value T
	document, node, err := parse(data)
	if err != nil {
		return value, err
	}
	for _, o := range overrides {
		override(document, strings.Split(o.Field, "."), o.Value)
	}
	fields := countFields(document)
	document = fillDefaults(d.root, d.definition, document)
	if err := d.schema.Validate(document); err != nil {
		return value, faultsOf(err, node)
	}
	// JSON to which neither overrides nor defaults were added is decoded as it is,
	// without encoding the document again.
	text := data
	isUnchanged := node == nil && len(overrides) == 0 && countFields(document) == fields
	if !isUnchanged {
		if text, err = json.Marshal(document); err != nil {
			return value, Faults{{Message: err.Error()}}
		}
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, Faults{typeFault(err, node)}
	}
	return value, nil
}

// override sets a field of a document. If a value on the path is not an object, the
// document is left unchanged and the validation reports the value.
func override(document any, path []string, value any) {
	object, ok := document.(map[string]any)
	if !ok {
		return
	}
	if len(path) == 1 {
		object[path[0]] = value
		return
	}
	if _, found := object[path[0]]; !found {
		object[path[0]] = map[string]any{}
	}
	override(object[path[0]], path[1:], value)
}

// fillDefaults adds the schema's defaults to the value and returns it. A missing
// object without required fields is added too, so that its defaults apply.
func fillDefaults(root, schema map[string]any, value any) any {
	schema = resolve(root, schema)
	switch value := value.(type) {
	case map[string]any:
		properties, _ := schema["properties"].(map[string]any)
		for name, property := range properties {
			property, ok := property.(map[string]any)
			if !ok {
				continue
			}
			current, found := value[name]
			if !found {
				current, found = defaultOf(root, property)
			}
			if found {
				value[name] = fillDefaults(root, property, current)
			}
		}
	case []any:
		items, ok := schema["items"].(map[string]any)
		if !ok {
			return value
		}
		for i := range value {
			value[i] = fillDefaults(root, items, value[i])
		}
	}
	return value
}

// defaultOf returns the default of a missing property, or false if it has none. An
// object without required fields has an empty object as its default.
func defaultOf(root, schema map[string]any) (any, bool) {
	if value, found := schema["default"]; found {
		// The defaults of the fields are added to the copy, not to the schema.
		return cloneValue(value), true
	}
	resolved := resolve(root, schema)
	_, hasRequired := resolved["required"]
	if resolved["type"] == "object" && !hasRequired {
		return map[string]any{}, true
	}
	return nil, false
}

// cloneValue returns a deep copy of a JSON value.
func cloneValue(value any) any {
	switch value := value.(type) {
	case map[string]any:
		clone := make(map[string]any, len(value))
		for name, field := range value {
			clone[name] = cloneValue(field)
		}
		return clone
	case []any:
		clone := make([]any, len(value))
		for i, item := range value {
			clone[i] = cloneValue(item)
		}
		return clone
	}
	return value
}

// resolve returns the definition that a schema refers to by "$ref", or the schema
// itself if it is not a reference.
func resolve(root, schema map[string]any) map[string]any {
	ref, ok := schema["$ref"].(string)
	if !ok {
		return schema
	}
	definitions, _ := root["$defs"].(map[string]any)
	target, ok := definitions[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
	if !ok {
		return schema
	}
	return target
}
