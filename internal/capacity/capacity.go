// Package capacity computes the tables of docs/CAPACITY.md from measured figures.
//
// The figures are the JSON output of lavenderdeal measure, stored under
// docs/measured. [Tables] computes every number of the tables from them, and a
// test fails when the page differs from the result:
//
//	figures, err := capacity.Read(os.DirFS("docs/measured"))
//	text, err := capacity.Tables(figures)
package capacity

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"strings"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/measure"
)

// The size and the limits of the users' largest deployment. The limits of the platform
// are in calls per second. Those of a node are in B/s of control traffic, in percent of
// a core for processor time and in MB for memory.
const (
	nodes          = 3800.0
	zones          = 24.0
	services       = 500.0
	callsPerSecond = 230000.0
	changesPerDay  = 3200.0
	restartsPerDay = 549.0
	secondsPerDay  = 86400.0
	// homeReadSeconds is the interval at which a service reads the homes of its
	// idempotency keys from the platform.
	homeReadSeconds = 10.0
	// zoneSize is the mean number of nodes in a zone.
	zoneSize           = nodes / zones
	platformReadLimit  = 2000.0
	platformWriteLimit = 300.0
	bytesLimit         = 8000.0
	coreLimit          = 2.6
	memoryLimit        = 256.0
	kilobyte           = 1000.0
)

// Figures holds the values that benchmarks measured, by names of the form
// "benchmark.figure", such as "hop.cpuPerCall". The units are those of the benchmarks.
type Figures map[string]float64

// Read reads the results of benchmarks from the *.json files of a directory. It returns
// an error if one of them cannot be read or parsed.
func Read(directory fs.FS) (Figures, error) {
	names, err := fs.Glob(directory, "*.json")
	if err != nil {
		return nil, err
	}
	figures := make(Figures)
	for _, name := range names {
		data, err := fs.ReadFile(directory, name)
		if err != nil {
			return nil, err
		}
		var result measure.Result
		if err := json.Unmarshal(data, &result); err != nil {
			return nil, errors.Wrap(err, name)
		}
		for _, f := range result.Figures {
			figures[result.Name+"."+f.Name] = f.Value
		}
	}
	return figures, nil
}

// Tables returns the tables of the page in Markdown. The error lists the missing
// figures.
func Tables(figures Figures) (string, error) {
	c := calculator{figures: figures}
	text := c.roles() + "\n" + c.slopes() + "\n" + c.failures()
	if len(c.missing) > 0 {
		return "", errors.Newf("missing figures: %s", strings.Join(c.missing, ", "))
	}
	return text, nil
}

// calculator computes the tables from the figures.
type calculator struct {
	figures Figures
	// missing holds the names of figures that were needed but not found.
	missing []string
}

// get returns a figure. If it is missing, get records its name and returns 0.
func (c *calculator) get(name string) float64 {
	v, ok := c.figures[name]
	if !ok {
		c.missing = append(c.missing, name)
	}
	return v
}

// atTargetSize returns a figure of the benchmark "control", extrapolated to the size of
// the users' largest deployment.
func (c *calculator) atTargetSize(name string) float64 { return c.get("control.letter." + name) }

// roles returns the table of the cost of each role on an ordinary day.
func (c *calculator) roles() string {
	changes, restarts := changesPerDay/secondsPerDay, restartsPerDay/secondsPerDay
	idle := c.atTargetSize("idleBytes")
	perChange := c.atTargetSize("bytesPerChange")
	perRestart := c.atTargetSize("bytesPerRestart")
	bytes := idle + changes*perChange + restarts*perRestart
	busiest := c.atTargetSize("busiestIdleBytes") + changes*c.atTargetSize("busiestBytesPerChange") + restarts*perRestart
	core := c.atTargetSize("idleCore") + changes*c.atTargetSize("corePerChange") + restarts*c.atTargetSize("corePerRestart")
	// One node of each service reads the homes of its keys. The linear fits can't
	// represent these reads, because the number of services grows with the product of
	// the number of zones and their size.
	homeReads := services / homeReadSeconds
	calls := c.atTargetSize("platformCallsIdle") + changes*c.atTargetSize("platformCallsPerChange") + homeReads
	heap := c.get("memory.letter")
	// hop.cpuPerCall is in microseconds in the two nodes of a call; callCore is in
	// percent of a core of one node.
	callCore := 100 * callsPerSecond / nodes * c.get("hop.cpuPerCall") / 2 / 1e6

	t := newTable("role", "how many", "state", "messages", "bytes sent", "core", "memory", "platform calls")
	t.row("ordinary node", formatCount(nodes), "lists of 100,000 customers, 3,800 members, its queue", "a probe a second; a push for each change",
		formatLimited(bytes, bytesLimit, "B/s"), formatLimited(core, coreLimit, "%"), formatLimited(heap, memoryLimit, "MB"), "none")
	t.row("zone reader, representative, status writer, all in one", formatCount(2*zones), "as above, and the confirmations of its zone", "as above; heads to other zones, digests of the zones, reports of its zone",
		formatLimited(busiest, bytesLimit, "B/s"), formatLimited(core, coreLimit, "%")+" on average", formatLimited(heap, memoryLimit, "MB"), fmt.Sprintf("%.3g/s each", calls/(2*zones)))
	t.row("home of keys", formatCount(nodes), "records of 10 minutes, 32 MB of answers at most", "asks the 7.6 nodes of its service every 2.5 s",
		"in the ordinary node's", "in the call", "at most 32 MB of the limit", fmt.Sprintf("%.3g reads/s in all, and %.2g writes/s, one for each restart", homeReads, restarts))
	t.row("call path", formatCount(nodes), "one queue for each server", fmt.Sprintf("%.0f calls/s a node", callsPerSecond/nodes),
		"the calls themselves", fmt.Sprintf("%.2g %% of a core, not control", callCore), "32 KB a call that streams", "none")
	t.row("command line", "one a change", "both lists", "none", "none", "in its own process", "in its own process", fmt.Sprintf("%.3g a change, the readers' and status writers' included", c.get("control.letter.platformCallsPerChange")))
	t.row("platform", "1", "head, chunks, history, status, peers, homes", "none", "none", "not ours", "not ours", formatLimited(calls, platformReadLimit, "calls/s"))
	return "### Roles on an ordinary day\n\n" + t.String()
}

// slopes returns the table of the measured slopes, by which the figures in the table of
// roles were extrapolated.
func (c *calculator) slopes() string {
	t := newTable("figure", "for each node of a zone", "for each zone", "for 1,000 customers", "largest distance from the lines", "at the letter's size", "unit")
	for _, row := range []struct{ name, unit string }{
		{"idleBytes", "B/s a node"},
		{"bytesPerChange", "B a node"},
		{"bytesPerRestart", "B a node"},
		{"busiestIdleBytes", "B/s, busiest node"},
		{"busiestBytesPerChange", "B, busiest node"},
		{"idleCore", "% of a core"},
		{"corePerChange", "% of a core for 1 s"},
		{"corePerRestart", "% of a core for 1 s"},
		{"platformCallsIdle", "calls/s"},
		{"platformCallsPerChange", "calls"},
	} {
		slope := "control.slope." + row.name
		t.row(row.name, formatNumber(c.get(slope+".zoneSize")), formatNumber(c.get(slope+".zones")), formatNumber(c.get(slope+".customers")),
			formatNumber(c.get(slope+".spread")), formatNumber(c.atTargetSize(row.name)), row.unit)
	}
	t.row("memory", formatNumber(c.get("memory.slope.members")/1000), "in the members", formatNumber(c.get("memory.slope.customers")),
		formatNumber(c.get("memory.slope.spread")), formatNumber(c.get("memory.letter")), "MB a node")
	return "### Measured slopes\n\n" + t.String()
}

// failures returns the table of figures under failures and overload.
func (c *calculator) failures() string {
	restartCalls := c.get("restart.fleet.platformCallsPerNode") * c.get("restart.fleet.nodes")
	restartZones := c.get("restart.fleet.zones")
	callsAtTarget := restartCalls / restartZones * zones
	readySeconds := c.get("restart.fleetPlatformSlow.readyMax") / 1000
	partition := c.get("convergence.partition.p99")
	zoneBytes := c.get("control.letter.bytesPerRestart") * zoneSize
	t := newTable("day", "what was measured", "at the letter's size", "limit", "mechanism")
	t.row("whole fleet restarts, platform slow", fmt.Sprintf("last node ready after %.3g s; %.3g platform calls in all", readySeconds, restartCalls),
		fmt.Sprintf("%.4g platform calls, if they grow with the zones; at %.0f/s in %.3g s", callsAtTarget, platformReadLimit, callsAtTarget/platformReadLimit),
		"2,000 reads/s", "only readers ask the platform; full jitter; joins served at once are bounded")
	t.row("a zone is lost", fmt.Sprintf("%s B a node for one restart", formatNumber(c.atTargetSize("bytesPerRestart"))),
		fmt.Sprintf("at most %.0f KB a node in all if each of %.0f members were lost and replaced one by one; a zone that is cut off is marked as one thing and needs none", zoneBytes/kilobyte, zoneSize),
		"8 KB/s", "a zone is marked cut off as one; members are kept")
	t.row("regions apart for minutes, then healed", fmt.Sprintf("in force %.3g ms after the healing", partition),
		"the same: a head and the chunks that differ, once a zone", "4 s", "digests are compared, only differences move")
	t.row("platform out for an hour", fmt.Sprintf("a zone that starts then is ready after %.3g s", c.get("restart.zonePlatformOut.readyMax")/1000),
		"nodes hold what they have; one retry with back-off for each reader", "no new versions", "floor of the version from peers")
	t.row("flood of the most urgent, 5 times the capacity", fmt.Sprintf("%.3g %% of the capacity used", c.get("flood.urgentMany.capacityUsed")),
		"the queue is local to each server and does not grow with the fleet", "floors", "admission at the server's node")
	return "### Bad days\n\n" + t.String()
}

// formatCount formats a value without decimals.
func formatCount(v float64) string { return fmt.Sprintf("%.0f", v) }

// formatNumber formats a value with three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }

// formatLimited formats a value with its limit, and marks a value above the limit.
func formatLimited(v, limit float64, unit string) string {
	text := fmt.Sprintf("%.3g of %.4g %s", v, limit, unit)
	if v > limit {
		return "**over: " + text + "**"
	}
	return text
}

// table builds a table in Markdown.
type table struct {
	text strings.Builder
}

func newTable(columns ...string) *table {
	t := &table{}
	t.row(columns...)
	t.text.WriteString(strings.Repeat("|---", len(columns)) + "|\n")
	return t
}

func (t *table) row(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) String() string { return t.text.String() }
