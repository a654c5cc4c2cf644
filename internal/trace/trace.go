// Package trace reconstructs what happened to one request from the logs of several
// nodes.
//
//	t, err := trace.Read(id, readers...)
//	fmt.Print(t)
//
// The log lines of the request and of its nested calls are sorted by time. Since the
// clocks of nodes differ, the times of a node that logged a request outside the
// interval in which another node waited for it are shifted into that interval, and
// the shift is printed.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes is the maximum length of a log line in bytes.
	maxLineBytes = 1 << 20
	timeLayout   = "2006-01-02T15:04:05.000Z"
)

// Line is a parsed log line of a request.
type Line struct {
	// At is the time of the line, corrected by the shift of the node's clock.
	At   time.Time
	Node string
	// Kind is the kind of event, such as "served" or "refused".
	Kind string
	// Request is the id of the request, or, for a nested call, an id that starts with
	// that of the request and a dot.
	Request string
	// Fields holds all other fields of the line.
	Fields map[string]any
}

// Trace holds the log lines of a request and of its nested calls, sorted by time.
type Trace struct {
	// Request is the id of the request.
	Request string
	Lines   []Line
	// Shifts holds the correction that was added to the times of each node whose
	// clock differed.
	Shifts map[string]time.Duration
}

// Read collects the lines of the request with the given id and of its nested calls
// from logs. It skips lines that are not log lines of a node. It returns an error if a
// log cannot be read or has a line longer than 1 MiB.
func Read(request string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{Request: request, Shifts: make(map[string]time.Duration)}
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Text()); ok && belongsTo(line.Request, request) {
				t.Lines = append(t.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	t.alignClocks()
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return t, nil
}

// parseLine parses a line. It skips text before the JSON object, such as a prefix that a
// log collector adds.
func parseLine(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{Node: take("node"), Kind: take("kind"), Request: take("request"), Fields: fields}
	at, err := time.Parse(timeLayout, take("at"))
	line.At = at
	return line, err == nil && line.Request != ""
}

// belongsTo reports whether id is that of the request or of one of its nested calls.
func belongsTo(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}

// alignClocks shifts the times of each node that logged a request outside the interval in
// which another node waited for it.
func (t *Trace) alignClocks() {
	for _, waiter := range t.Lines {
		by, _ := waiter.Fields["by"].(string)
		took, _ := waiter.Fields["tookMs"].(float64)
		if by == "" || by == waiter.Node {
			continue
		}
		begin := waiter.At.Add(-time.Duration(took) * time.Millisecond)
		for _, other := range t.Lines {
			if other.Node != by || other.Request != waiter.Request || t.Shifts[by] != 0 {
				continue
			}
			switch {
			case other.At.After(waiter.At):
				t.Shifts[by] = waiter.At.Sub(other.At)
			case other.At.Before(begin):
				t.Shifts[by] = begin.Sub(other.At)
			}
		}
	}
	for i := range t.Lines {
		t.Lines[i].At = t.Lines[i].At.Add(t.Shifts[t.Lines[i].Node])
	}
}

// Cause returns a short explanation of why the request ended as it did. It is taken
// from the last line of the request that has a status.
func (t *Trace) Cause() string {
	for _, line := range slices.Backward(t.Lines) {
		if line.Request != t.Request || line.Fields["status"] == nil {
			continue
		}
		rule, _ := line.Fields["rule"].(string)
		if rule == "" {
			if status, _ := line.Fields["status"].(float64); status >= 500 {
				return fmt.Sprintf("the backend server beside node %v answered with status %v", line.Fields["by"], status)
			}
			return "it was answered"
		}
		if text, ok := causes[rule]; ok {
			return text
		}
		return "rule " + rule
	}
	return "no line about its end was found: the node ended, the line exceeded the log's rate limit, or the request was served and not sampled for the log"
}

// Choice returns why the request went to the node that it was last offered to, or an empty
// text if that is not known. It is taken from the line that has its end.
func (t *Trace) Choice() string {
	for _, line := range slices.Backward(t.Lines) {
		chosen, _ := line.Fields["chosen"].(string)
		if line.Request != t.Request || chosen == "" {
			continue
		}
		text, ok := choices[chosen]
		if !ok {
			text = chosen
		}
		by, _ := line.Fields["by"].(string)
		asked, _ := line.Fields["asked"].([]any)
		if len(asked) == 0 {
			return by + ": " + text
		}
		if by == "" {
			// The last node did not take it either.
			last, _ := asked[len(asked)-1].(string)
			by, _, _ = strings.Cut(last, " ")
		}
		return fmt.Sprintf("%s: %s (nodes that did not take it: %d)", by, text, len(asked))
	}
	return ""
}

// choices explains each reason for which a node is chosen.
var choices = map[string]string{
	"onTrial":          "its server's version is on trial, and the request was among its share",
	"onlyReady":        "no other node with a server of the service was ready",
	"noOtherHasRoom":   "no other node was expected to accept the request",
	"askedForFreeSlot": "it was asked for a free slot",
	"bestInOwnZone":    "it had the lowest expected wait, and is in the caller's zone",
	"bestInOtherZone":  "it had the lowest expected wait, although it is in another zone",
}

// Next returns the command that shows more of the cause, or an empty text.
func (t *Trace) Next() string {
	for _, line := range slices.Backward(t.Lines) {
		rule, _ := line.Fields["rule"].(string)
		if line.Request != t.Request || rule == "" || line.Fields["status"] == nil {
			continue
		}
		account, _ := line.Fields["account"].(string)
		service, _ := line.Fields["service"].(string)
		switch rule {
		case "accountOverLimit", "accountFloods", "accountLimitUnknown":
			return "lavenderdeal accounts --account " + account + " --node ADDRESS..."
		case "versionHeld":
			return "lavenderdeal rollouts --service " + service + " --node ADDRESS..."
		case "wouldBeLate", "queueFull", "allServersFull", "serverFailing", "noServerKnown", "noFreeSlot", "uplinkFull":
			return "lavenderdeal servers --service " + service + " --node ADDRESS   (the node that refused: " + line.Node + ")"
		}
		return ""
	}
	return ""
}

// causes explains each rule that ends a request.
var causes = map[string]string{
	"callRefused":         "its server failed it after a call of it was refused, which another server would make in vain as well",
	"repeatedCalls":       "it would have run again, but the calls of that run are beyond the retry budget",
	"wouldBeLate":         "no server of the service could have run the request within its target latency: refused, not run",
	"queueFull":           "the queue of the server was full: refused, not run",
	"allServersFull":      "each server of the service had recently refused requests because it was full: refused, not run",
	"linkFull":            "the link of the server's instance had no room for the body in time: refused, not run",
	"uplinkFull":          "the answer would have left the server's instance too late, as its link was busy with other long answers: refused, not run",
	"accountOverLimit":    "the client account had used up its limit over all nodes: refused, not run",
	"accountFloods":       "the client account sent more than its limit and no slot was free: refused, not run",
	"accountLimitUnknown": "no home of the client account said in time whether it was within its limit: refused, not run",
	"unknownAccount":      "the API key was missing, malformed or of no client account in the version in force",
	"keysNotCurrent":      "the node was out of touch for too long to accept API keys: refused, not run",
	"parentUnknown":       "the request had no API key and belonged to none that runs on the own server: refused, not run",
	"versionHeld":         "the roll-out of the service allows no such request at the server's version: not run there",
	"serverLeaving":       "the server was leaving: refused, not run",
	"noFreeSlot":          "the server was asked for a free slot and had none: not run there",
	"serverFailing":       "the server had failed many requests in a row and got none for a while: not run there",
	"noServerKnown":       "no server of the service was known: refused, not run",
	"noServer":            "the server had not sent a heartbeat to its node yet: refused, not run",
	"otherServer":         "the server that the request was sent to had been replaced by another one: refused, not run",
	"serverUnreachable":   "no connection to the server's address could be opened: refused, not run",
	"serverFull":          "the server itself refused the request because it was full: not run",
	"serverBroke":         "the connection to the server broke after the request was sent: it may have run",
	"nodeUnanswered":      "the server's node did not answer: it may have run unless nothing was sent",
	"answerSpoilt":        "the server's answer was invalid: it may have run",
	"refusalWithoutProof": "the server refused without confirming that it did not run the request: it may have run",
	"deadlinePassed":      "the deadline of the request passed",
	"waitedTooLong":       "the request waited too long for a slot: refused, not run",
	"callerLeft":          "the caller disconnected",
	"withdrawn":           "the node that forwarded the request took it back because its connection gave no answer, or because it was stopping: not run there",
	"noConfiguration":     "the node had no configuration yet: refused, not run",
	"nodeStopping":        "the node was stopping: refused, not run",
	"noRoute":             "the configuration in force has no route for the host and path",
	"bodyTooLarge":        "the body is longer than the configuration allows",
	"headerTooLarge":      "the header of the request is longer than the configuration allows",
	"quarantined":         "requests like this one crashed the servers that ran them: refused, not run",
	"bodyBroken":          "the request body from the caller was incomplete",
	"bodySilent":          "the caller did not send the whole request body before the deadline: not run",
	"memoryFull":          "the bodies of requests took all the memory for them: refused, not run",
	"parentAbandoned":     "the request that the server makes this call for was given up: not run",
	"nodeDisconnected":    "the connection to the server's node was lost before the body was sent: not run",
	"noRequestID":         "the request has no id",
}

// String returns the request's cause, why it went where it did, where to look further, the clock shifts and a table of the lines.
func (t *Trace) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", t.Request, t.Cause())
	if choice := t.Choice(); choice != "" {
		fmt.Fprintf(&b, "last offered to %s\n", choice)
	}
	if next := t.Next(); next != "" {
		fmt.Fprintf(&b, "see %s\n", next)
	}
	for _, node := range slices.Sorted(maps.Keys(t.Shifts)) {
		fmt.Fprintf(&b, "clock of %s shifted by %s\n", node, t.Shifts[node])
	}
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%s %-24s %-14s", line.At.Format("15:04:05.000"), line.Node, line.Kind)
		if line.Request != t.Request {
			fmt.Fprintf(&b, " call=%s", line.Request)
		}
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&b, " %s=%v", name, line.Fields[name])
		}
		b.WriteByte('\n')
	}
	return b.String()
}
