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

// maxPrintedFaults is how many faults an error lists.
const maxPrintedFaults = 100

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

func faultsOf(err error, node *yaml.Node) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Faults{{Message: err.Error()}}
	}
	var faults Faults
	printer := message.NewPrinter(language.English)
	collect(invalid, func(leaf *jsonschema.ValidationError) {
		location := leaf.InstanceLocation
		text := describe(leaf.ErrorKind, printer)
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

// describe says what is wrong. It leaves out values that a pattern did not match,
// since a key may have been written in place of its hash.
func describe(k jsonschema.ErrorKind, printer *message.Printer) string {
	switch k := k.(type) {
	case *kind.Pattern:
		return "does not match the pattern " + k.Want
	case *kind.Format:
		return k.Err.Error()
	}
	return k.LocalizedString(printer)
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

// Error lists the first faults, one a line.
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
