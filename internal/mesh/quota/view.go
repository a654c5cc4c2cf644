package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"lavenderdeal/core/quotahome"
	"lavenderdeal/internal/awake"
)

// maxReports bounds the number of reports. To find the homes of very many accounts would
// hold up requests.
const maxReports = 200

// Reports returns the state, by name, of the accounts of which this node is the home in its
// zone: those with the highest demand, or the one with a name if it is not empty.
func (q *Quota) Reports(only string) map[string]quotahome.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := awake.Now()
	reports := q.home.Reports(now)
	names := slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		return cmp.Or(cmp.Compare(reports[b].Demand, reports[a].Demand), strings.Compare(a, b))
	})
	if only != "" {
		names = slices.DeleteFunc(names, func(name string) bool { return name != only })
	}
	found := make(map[string]quotahome.Report)
	for _, name := range names[:min(len(names), maxReports)] {
		if e, ok := q.homeLocked(now, name); ok && e.Node == q.node {
			found[name] = reports[name]
		}
	}
	return found
}
