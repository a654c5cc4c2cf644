package document

import (
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

// maxPrintedFaults is the maximum number of faults in the text of an error.
const maxPrintedFaults = 100

// Fault is one error in a document.
type Fault struct {
	// Field is the path to the value, such as "plans[2].uses[0].service".
	Field string
	// Line is the line in the document, counted from 1, or 0 if unknown.
	Line int
	// Message describes the error.
	Message string
}

// Faults is the error that Decode returns, with every fault of the document.
type Faults []Fault

// faultsOf converts an error of the validation to faults sorted by line and field. The
// node provides the lines; it is nil for JSON.
func faultsOf(err error, node *yaml.Node) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Faults{{Message: err.Error()}}
	}
	var faults Faults
	printer := message.NewPrinter(language.English)
	forEachLeaf(invalid, func(leaf *jsonschema.ValidationError) {
		location := leaf.InstanceLocation
		text := describe(leaf.ErrorKind, printer)
		if additional, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range additional.Properties {
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

// describe returns the message for an error. It omits a value that doesn't match a
// pattern, since the value may be a key given instead of its hash.
func describe(k jsonschema.ErrorKind, printer *message.Printer) string {
	switch k := k.(type) {
	case *kind.Pattern:
		return "does not match the pattern " + k.Want
	case *kind.Format:
		return k.Err.Error()
	}
	return k.LocalizedString(printer)
}

// forEachLeaf calls add for each error in the tree of a validation error that has no
// causes itself.
func forEachLeaf(err *jsonschema.ValidationError, add func(*jsonschema.ValidationError)) {
	if len(err.Causes) == 0 {
		add(err)
		return
	}
	for _, cause := range err.Causes {
		forEachLeaf(cause, add)
	}
}

// typeFault converts an error of json.Unmarshal to a fault.
func typeFault(err error, node *yaml.Node) Fault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		at := strings.Split(wrongType.Field, ".")
		return Fault{Field: wrongType.Field, Line: lineOf(node, at), Message: err.Error()}
	}
	return Fault{Message: err.Error()}
}

// fieldOf joins the parts of a location to a path such as "plans[2].name".
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

// Line returns the line of a field such as "plans[2].name" in a YAML document. If
// the document doesn't have the field, it returns the line of the innermost value
// on the path that exists. It returns 0 if the document is empty or not valid YAML.
func Line(data []byte, field string) int {
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return 0
	}
	field = strings.NewReplacer("[", ".", "]", "").Replace(field)
	return lineOf(&node, strings.Split(field, "."))
}

// lineOf is like Line for a parsed document. It returns 0 if the node is nil.
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

// Error returns the first faults, one per line.
func (f Faults) Error() string {
	var lines []string
	for i, fault := range f {
		if i == maxPrintedFaults {
			lines = append(lines, fmt.Sprintf("and %d more faults", len(f)-i))
			break
		}
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
