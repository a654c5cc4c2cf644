package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"lavenderdeal/core/listdiff"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/document"
	"lavenderdeal/internal/publish"
	"lavenderdeal/schema/lists"
)

// listFiles holds the files on a command line, the lists decoded from them and the
// faults found in them. The content of a file determines which list it holds, so the
// order of the files doesn't matter.
type listFiles struct {
	lists                          listdiff.Lists
	customers, plans               *listFile
	faults                         []listFault
	customersDecoded, plansDecoded bool
}

type listFile struct {
	name string
	data []byte
}

// listFault is a validation error with its position.
type listFault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// readLists reads and validates both lists. The error lists every fault.
func readLists(names []string) (listdiff.Lists, error) {
	files, err := checkLists(names)
	if err != nil {
		return listdiff.Lists{}, err
	}
	if files.customers == nil || files.plans == nil {
		return listdiff.Lists{}, usageError("want two files, the list of customers and the list of plans")
	}
	return files.lists, files.err()
}

// checkLists reads and validates one or both lists and collects every fault.
func checkLists(names []string) (*listFiles, error) {
	if err := noFlags(names); err != nil {
		return nil, err
	}
	if len(names) == 0 || len(names) > 2 {
		return nil, usageError("want one or two files: the list of customers, the list of plans, or both")
	}
	files := &listFiles{}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		if err := files.add(&listFile{name: name, data: data}); err != nil {
			return nil, err
		}
	}
	files.checkContent()
	files.sort()
	return files, nil
}

// add decodes a file and collects its faults.
func (f *listFiles) add(file *listFile) error {
	var err error
	if isCustomers(file.data) {
		if f.customers != nil {
			return usageError("%s and %s are both lists of customers", f.customers.name, file.name)
		}
		f.customers = file
		f.lists.Customers, err = publish.DecodeCustomers(file.data)
		f.customersDecoded = err == nil
	} else {
		if f.plans != nil {
			return usageError("%s and %s are both lists of plans", f.plans.name, file.name)
		}
		f.plans = file
		f.lists.Plans, err = publish.DecodePlans(file.data)
		f.plansDecoded = err == nil
	}
	f.addFaults(file, err)
	return nil
}

func (f *listFiles) addFaults(file *listFile, err error) {
	var faults document.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			f.faults = append(f.faults, listFault{File: file.name, Line: fault.Line, Field: fault.Field, Message: fault.Message})
		}
		return
	}
	if err != nil {
		f.faults = append(f.faults, listFault{File: file.name, Message: err.Error()})
	}
}

// checkContent checks what the schemas can't: duplicate names and references to
// names that are not listed. A list that is missing or invalid is not checked.
func (f *listFiles) checkContent() {
	customers, planList := f.lists.Customers, f.lists.Plans
	if !f.customersDecoded {
		customers = lists.CustomerList{}
	}
	if !f.plansDecoded {
		planList = placeholderPlans(customers)
	}
	_, faults := plans.Build(1, customers, planList)
	for _, fault := range faults {
		file := f.customers
		if fault.List == "plans" {
			file = f.plans
		}
		f.faults = append(f.faults, listFault{
			File:    file.name,
			Line:    document.Line(file.data, fault.Field),
			Field:   fault.Field,
			Message: fault.Message,
		})
	}
}

// placeholderPlans returns a list of the plans that the customers refer to. It
// replaces a list of plans that is missing or invalid.
func placeholderPlans(customers lists.CustomerList) lists.PlanList {
	var list lists.PlanList
	seen := make(map[string]bool)
	for _, c := range customers.Customers {
		if !seen[c.Plan] {
			seen[c.Plan] = true
			list.Plans = append(list.Plans, lists.Plan{Name: c.Plan})
		}
	}
	return list
}

func (f *listFiles) sort() {
	slices.SortStableFunc(f.faults, func(a, b listFault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// err returns every fault as one error, or nil.
func (f *listFiles) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(f.faults))
	for _, fault := range f.faults {
		lines = append(lines, fault.String())
	}
	count := "1 fault"
	if len(lines) > 1 {
		count = fmt.Sprintf("%d faults", len(lines))
	}
	return errors.Newf("%s\n%s", count, strings.Join(lines, "\n"))
}

// isCustomers reports whether a document seems to be the list of customers: it has
// the key customers at the top level or, if it is not valid YAML, anywhere.
func isCustomers(data []byte) bool {
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil || len(node.Content) != 1 {
		return strings.Contains(string(data), "customers:")
	}
	keys := node.Content[0].Content
	for i := 0; i < len(keys); i += 2 {
		if keys[i].Value == "customers" {
			return true
		}
	}
	return false
}

func (f listFault) String() string {
	parts := []string{f.File}
	if f.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", f.Line))
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	return strings.Join(append(parts, f.Message), ": ")
}
