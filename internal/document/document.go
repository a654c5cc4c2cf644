package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
)

// maxDocumentBytes is the maximum size of a document in bytes.
const maxDocumentBytes = 256 << 20

// parse parses one document. The node is nil for JSON, which is written by programs
// and whose faults are reported without lines.
func parse(data []byte) (any, *yaml.Node, error) {
	trimmed := bytes.TrimSpace(data)
	switch {
	case len(trimmed) == 0:
		return nil, nil, Faults{{Message: "the document is empty"}}
	case len(data) > maxDocumentBytes:
		return nil, nil, Faults{{Message: fmt.Sprintf("the document has %d bytes, at most %d are read", len(data), maxDocumentBytes)}}
	case trimmed[0] == '{':
		// The JSON decoder is much faster than the YAML decoder. Text that is not valid
		// JSON may still be YAML in flow style.
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err == nil {
			return document, nil, checkDuplicates(data, document)
		}
	}
	return parseYAML(data)
}

func parseYAML(data []byte) (any, *yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var node yaml.Node
	if err := decoder.Decode(&node); err != nil {
		return nil, nil, Faults{{Message: err.Error()}}
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, nil, Faults{{Line: extra.Line, Message: "more than one document"}}
	}
	r := nodeReader{}
	document := r.value(&node, nil)
	if len(r.faults) > 0 {
		return nil, nil, r.faults
	}
	return document, &node, nil
}

// nodeReader converts YAML nodes to JSON values and collects the faults.
type nodeReader struct {
	faults Faults
}

func (r *nodeReader) value(node *yaml.Node, path []string) any {
	switch node.Kind {
	case yaml.DocumentNode:
		return r.value(node.Content[0], path)
	case yaml.MappingNode:
		return r.object(node, path)
	case yaml.SequenceNode:
		list := make([]any, len(node.Content))
		for i, item := range node.Content {
			list[i] = r.value(item, append(path, strconv.Itoa(i)))
		}
		return list
	case yaml.ScalarNode:
		return r.scalar(node, path)
	}
	r.fault(node, path, "aliases are not supported")
	return nil
}

func (r *nodeReader) object(node *yaml.Node, path []string) any {
	object := make(map[string]any, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := append(path, key.Value)
		if key.Kind != yaml.ScalarNode || key.ShortTag() != "!!str" {
			r.fault(key, at, "names of fields must be strings")
			continue
		}
		if _, ok := object[key.Value]; ok {
			r.fault(key, at, "the field is given twice")
			continue
		}
		object[key.Value] = r.value(value, at)
	}
	return object
}

func (r *nodeReader) scalar(node *yaml.Node, path []string) any {
	switch node.ShortTag() {
	case "!!str", "!!timestamp":
		return node.Value
	case "!!null":
		return nil
	case "!!bool":
		var value bool
		r.decode(node, path, &value)
		return value
	case "!!int":
		var value int64
		r.decode(node, path, &value)
		return json.Number(strconv.FormatInt(value, 10))
	case "!!float":
		var value float64
		r.decode(node, path, &value)
		if math.IsNaN(value) || math.IsInf(value, 0) {
			r.fault(node, path, "not a finite number")
			return nil
		}
		return json.Number(strconv.FormatFloat(value, 'g', -1, 64))
	}
	r.fault(node, path, "the tag "+node.ShortTag()+" is not supported")
	return nil
}

func (r *nodeReader) decode(node *yaml.Node, path []string, value any) {
	if err := node.Decode(value); err != nil {
		r.fault(node, path, "the value does not fit its YAML type")
	}
}

func (r *nodeReader) fault(node *yaml.Node, path []string, message string) {
	r.faults = append(r.faults, Fault{Field: fieldOf(path), Line: node.Line, Message: message})
}

// checkDuplicates returns an error if a JSON document has a duplicate field. The
// decoder keeps only the last value of such a field, so the decoded document then
// has fewer fields than the text has colons outside of strings.
func checkDuplicates(data []byte, document any) error {
	if countColons(data) == countFields(document) {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	field, err := findDuplicate(decoder, nil)
	if err != nil || field == nil {
		return Faults{{Message: "a field is given twice"}}
	}
	return Faults{{Field: fieldOf(field), Message: "the field is given twice"}}
}

// countColons returns the number of colons outside of strings in a JSON text.
func countColons(data []byte) int {
	n, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '"':
			inString = !inString
		case inString && c == '\\':
			i++
		case !inString && c == ':':
			n++
		}
	}
	return n
}

// countFields returns the number of fields of all objects in a value.
func countFields(value any) int {
	n := 0
	switch value := value.(type) {
	case map[string]any:
		n = len(value)
		for _, v := range value {
			n += countFields(v)
		}
	case []any:
		for _, v := range value {
			n += countFields(v)
		}
	}
	return n
}

// findDuplicate reads one value and returns the path of its first duplicate
// field, or nil.
func findDuplicate(decoder *json.Decoder, path []string) ([]string, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return findDuplicateInObject(decoder, path)
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if field, err := findDuplicate(decoder, append(path, strconv.Itoa(i))); field != nil || err != nil {
				return field, err
			}
		}
		_, err = decoder.Token()
	}
	return nil, err
}

func findDuplicateInObject(decoder *json.Decoder, path []string) ([]string, error) {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		at := append(path, name)
		if seen[name] {
			return at, nil
		}
		seen[name] = true
		if field, err := findDuplicate(decoder, at); field != nil || err != nil {
			return field, err
		}
	}
	_, err := decoder.Token()
	return nil, err
}
