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
package border

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Field is the path to the value, such as "plans[2].uses[0].service".
	Field string
	// Line is the line in the document, counted from 1, or 0 when unknown.
	Line int
	// Message says what is wrong.
	Message string
}

// Faults is the error that Decode returns: every fault of one document.
type Faults []Fault

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

// Decode reads one YAML or JSON document. The error is of type [Faults].
func (d *Decoder[T]) Decode(data []byte) (T, error) {
	var value T
	document, node, err := parse(data)
	if err != nil {
		return value, err
	}
	document = fillDefaults(d.root, d.start, document)
	if err := d.schema.Validate(document); err != nil {
		return value, faultsOf(err, node)
	}
	text, err := json.Marshal(document)
	if err != nil {
		return value, Faults{{Message: err.Error()}}
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, Faults{typeFault(err, node)}
	}
	return value, nil
}

func parse(data []byte) (any, *yaml.Node, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, nil, Faults{{Message: "the document is empty"}}
	}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		// JSON is read by its own decoder, which is far faster than YAML's.
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err == nil {
			return document, nil, nil
		}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var node yaml.Node
	if err := decoder.Decode(&node); err != nil {
		return nil, nil, Faults{{Message: err.Error()}}
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); err == nil {
		return nil, nil, Faults{{Line: extra.Line, Message: "more than one document"}}
	}
	var document any
	if err := node.Decode(&document); err != nil {
		return nil, nil, Faults{{Message: err.Error()}}
	}
	text, err := json.Marshal(document)
	if err != nil {
		return nil, nil, Faults{{Message: "keys must be strings: " + err.Error()}}
	}
	document, err = jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, nil, Faults{{Message: err.Error()}}
	}
	return document, &node, nil
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

func faultsOf(err error, node *yaml.Node) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Faults{{Message: err.Error()}}
	}
	var faults Faults
	printer := message.NewPrinter(language.English)
	collect(invalid, func(leaf *jsonschema.ValidationError) {
		location := leaf.InstanceLocation
		text := leaf.ErrorKind.LocalizedString(printer)
		if extra, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range extra.Properties {
				at := append(append([]string{}, location...), name)
				faults = append(faults, Fault{Field: fieldOf(at), Line: lineOf(node, at), Message: "unknown field"})
			}
			return
		}
		faults = append(faults, Fault{Field: fieldOf(location), Line: lineOf(node, location), Message: text})
	})
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Field < faults[j].Field
	})
	return faults
}

func collect(err *jsonschema.ValidationError, add func(*jsonschema.ValidationError)) {
	if len(err.Causes) == 0 {
		add(err)
		return
	}
	for _, cause := range err.Causes {
		collect(cause, add)
	}
}

func typeFault(err error, node *yaml.Node) Fault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		at := strings.Split(wrongType.Field, ".")
		return Fault{Field: wrongType.Field, Line: lineOf(node, at), Message: err.Error()}
	}
	return Fault{Message: err.Error()}
}

func fieldOf(location []string) string {
	var b strings.Builder
	for _, part := range location {
		if _, err := strconv.Atoi(part); err == nil {
			b.WriteString("[" + part + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// Line returns the line of a field such as "plans[2].name" in a YAML document,
// or 0 when the document has no such field.
func Line(data []byte, field string) int {
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return 0
	}
	field = strings.NewReplacer("[", ".", "]", "").Replace(field)
	return lineOf(&node, strings.Split(field, "."))
}

func lineOf(node *yaml.Node, location []string) int {
	if node == nil {
		return 0
	}
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		node = node.Content[0]
	}
	line := node.Line
	for _, part := range location {
		next := child(node, part)
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

func child(node *yaml.Node, part string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(part)
		if err == nil && i >= 0 && i < len(node.Content) {
			return node.Content[i]
		}
	}
	return nil
}

func (f Fault) String() string {
	var parts []string
	if f.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", f.Line))
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
