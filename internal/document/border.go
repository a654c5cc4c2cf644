// Package border decodes what comes from outside: settings, lists and objects
// of the platform.
//
// # Use
//
// A [Decoder] is built once for a schema and a type. Decode fills in the
// schema's defaults, checks the whole document and reports every fault with its
// field and line:
//
//	decoder, err := border.New[settings.Settings](settings.Schema, "")
//	cfg, err := decoder.Decode(data)
//	var faults border.Faults
//	if errors.As(err, &faults) {
//		for _, fault := range faults {
//			fmt.Println(fault)
//		}
//	}
package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Decoder decodes documents of one type. It is safe for use by several
// goroutines at once.
type Decoder[T any] struct {
	schema *jsonschema.Schema
	root   map[string]any
	start  map[string]any
}

// New compiles a schema. The definition names one of the schema's "$defs";
// empty takes the schema itself.
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
	location, start := "schema.json", object
	if definition != "" {
		location += "#/$defs/" + definition
		start = resolve(object, map[string]any{"$ref": "#/$defs/" + definition})
	}
	compiled, err := compiler.Compile(location)
	if err != nil {
		return nil, errors.Wrap(err, "compile schema")
	}
	return &Decoder[T]{schema: compiled, root: object, start: start}, nil
}

// MustNew is like New and panics on an error. It is for schemas that are part
// of the program.
func MustNew[T any](schema []byte, definition string) *Decoder[T] {
	decoder, err := New[T](schema, definition)
	if err != nil {
		panic(err)
	}
	return decoder
}

// Override is a value that goes before that of a document.
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

// DecodeWith is like Decode and puts the overrides into the document before it
// is checked.
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
	document = fillDefaults(d.root, d.start, document)
	if err := d.schema.Validate(document); err != nil {
		return value, faultsOf(err, node)
	}
	text := data
	isAsRead := node == nil && len(overrides) == 0 && countFields(document) == fields
	if !isAsRead {
		if text, err = json.Marshal(document); err != nil {
			return value, Faults{{Message: err.Error()}}
		}
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, Faults{typeFault(err, node)}
	}
	return value, nil
}

// override sets a field of a document. Where the document has something else than
// an object on the way, it stays as it is, for the check to report.
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

// fillDefaults adds the schema's defaults to the value. A missing object whose
// fields are all optional is added too, so that its defaults apply.
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

func defaultOf(root, schema map[string]any) (any, bool) {
	if value, found := schema["default"]; found {
		// Defaults of its fields go into an object; that of the schema stays.
		if object, ok := value.(map[string]any); ok {
			value = maps.Clone(object)
		}
		return value, true
	}
	resolved := resolve(root, schema)
	_, hasRequired := resolved["required"]
	if resolved["type"] == "object" && !hasRequired {
		return map[string]any{}, true
	}
	return nil, false
}

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
