// Package crowd plays clients that keep to no limits, against one process of the system, for
// tests. It measures what doesn't depend on the speed of the machine: whether the process lives,
// its peak memory and its open descriptors.
//
//	p := crowd.Start(t, crowd.Build(t, "lavenderdeald"), "--config", path)
//	for _, pattern := range crowd.Patterns() {
//		crowd.Attack(t, addr, head, pattern)
//		p.AssertWithinBounds(t)
//	}
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// The limits of a process under test, and the bounds that it must keep.
const (
	// MemoryMiB is the memory of the machine, in MiB.
	MemoryMiB = 64
	// Descriptors is the limit on the descriptors of the process.
	Descriptors = 512
	// maxDescriptors leaves an eighth of them for what the process itself opens.
	maxDescriptors = Descriptors * 7 / 8

	// clients is the size of the crowd, and manyClients that of one with more connections than
	// the process has descriptors.
	clients, manyClients = 200, 600
	// endless is the size in bytes of what has no end, and legal that of a head inside the
	// limit of 16,384 bytes.
	endless, legal = 256 << 10, 16_000
	// writeTimeout ends a write that the process does not take.
	writeTimeout = 5 * time.Second
	// The process has read what it reads of a crowd once it has used no processor time for
	// quietTime. A wait for that ends after quietTimeout.
	quietTime, quietTimeout = 400 * time.Millisecond, 20 * time.Second
)

// Pattern is what each client of a crowd sends on its connection, which it then keeps open.
type Pattern struct {
	Name    string
	Clients int
	// Text returns what a client sends after the request line and the headers of an ordinary
	// request, or in place of them if bare is set.
	Text func() string
	bare bool
	// method is that of the request line.
	method string
}

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "short header lines without end", Clients: clients, method: "GET", Text: func() string { return shortLines(endless) }},
		{Name: "a header line without end", Clients: clients, method: "GET", Text: func() string { return "X: " + strings.Repeat("x", endless) }},
		{Name: "empty lines without end", Clients: clients, bare: true, Text: func() string { return strings.Repeat("\r\n", endless/2) }},
		{Name: "legal heads of short header lines", Clients: clients, method: "POST", Text: func() string { return "Content-Length: 10\r\n" + shortLines(legal) + "\r\n" }},
		{Name: "legal heads of short header lines that are not ended", Clients: clients, method: "GET", Text: func() string { return shortLines(legal) }},
		{Name: "legal heads of continued lines that are not ended", Clients: clients, method: "GET", Text: func() string { return "X: x\r\n" + strings.Repeat(" \t\r\n", legal/4) }},
		{Name: "header lines without a name", Clients: clients, method: "GET", Text: func() string { return strings.Repeat(":\r\n", legal/3) + "\r\n" }},
		{Name: "silent connections", Clients: manyClients, bare: true, Text: func() string { return "" }},
	}
}

// shortLines returns header lines with different short names, about n bytes.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\n")
	}
	return b.String()
}

// SendLegal sends one request with as many short header lines as the limit allows, and returns
// the status of the answer. The head is that of Attack.
func SendLegal(t testing.TB, addr netip.AddrPort, head string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET "+head+shortLines(legal)+"\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// Attack lets the clients of a pattern connect to addr and send. The head is the part of an
// ordinary request behind the method, up to the end of a header line. The connections are open
// until the test ends.
func Attack(t testing.TB, addr netip.AddrPort, head string, p Pattern) {
	t.Helper()
	text := p.Text()
	if !p.bare {
		text = p.method + " " + head + text
	}
	conns := make([]net.Conn, p.Clients)
	t.Cleanup(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	var group errgroup.Group
	for i := range conns {
		group.Go(func() error {
			c, err := net.DialTimeout("tcp", addr.String(), writeTimeout)
			if err != nil {
				// A crowd may be refused.
				return nil
			}
			conns[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = io.WriteString(c, text)
			return nil
		})
	}
	_ = group.Wait()
}

// Process is a running process under test.
type Process struct {
	cmd *exec.Cmd
	// Output holds what the process has written, and is complete once the process has ended.
	output bytes.Buffer
	group  errgroup.Group
	ended  chan struct{}
}

// Build builds the program in cmd/NAME, without the race detector, and returns its path. The
// working directory is that of a package two levels below the root.
func Build(t testing.TB, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	build := exec.Command("go", "build", "-o", path, "lavenderdeal/cmd/"+name)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, out)
	}
	return path
}

// Start starts a program with Descriptors descriptors, and kills it at the end of the test.
func Start(t testing.TB, program string, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{ended: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, Descriptors)
	p.cmd = exec.Command("sh", append([]string{"-c", script, program}, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.group.Go(func() error {
		defer close(p.ended)
		return p.cmd.Wait()
	})
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.group.Wait()
		if t.Failed() {
			t.Logf("%s", tail(p.output.Bytes(), 4<<10))
		}
	})
	return p
}

func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

// AwaitQuiet waits until the process has worked on all that was sent to it.
func (p *Process) AwaitQuiet(t testing.TB) {
	t.Helper()
	used, since := p.processorTicks(t), time.Now()
	for end := since.Add(quietTimeout); time.Now().Before(end) && time.Since(since) < quietTime; time.Sleep(quietTime / 20) {
		// The ticks of a node without requests are fewer.
		if now := p.processorTicks(t); now > used+3 {
			used, since = now, time.Now()
		}
	}
}

// processorTicks returns the processor time of the process, in ticks of 10 ms.
func (p *Process) processorTicks(t testing.TB) (ticks int) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	const userTime, systemTime = 11, 12
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return ticks
}

// AssertWithinBounds checks that the process lives, that its resident memory was never above
// MemoryMiB, and that it leaves descriptors free.
func (p *Process) AssertWithinBounds(t testing.TB) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("the process has ended: %s", p.cmd.ProcessState)
	default:
	}
	peak, files := p.peakMiB(t), p.files(t)
	t.Logf("at most %d MiB, %d descriptors", peak, files)
	if peak > MemoryMiB {
		t.Errorf("the process has used %d MiB, the machine has %d", peak, MemoryMiB)
	}
	if files > maxDescriptors {
		t.Errorf("the process has %d open descriptors, want %d at most", files, maxDescriptors)
	}
}

// peakMiB returns the peak of the resident memory in MiB.
func (p *Process) peakMiB(t testing.TB) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kib >> 10
		}
	}
	t.Fatal("no peak memory in the status of the process")
	return 0
}

// files returns the number of open descriptors.
func (p *Process) files(t testing.TB) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
