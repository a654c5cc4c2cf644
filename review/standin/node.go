package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a process of the deploy file's only role.
type node struct {
	world    *world
	name, ip string
	settings string
	bounds   bounds

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ended   bool
	startAt time.Time
	// peakMB is the largest anonymous memory of any of its processes.
	peakMB float64
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/lavenderdeald")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERDEAL_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.startAt = cmd, exited, time.Now()
	n.world.spawn(func() {
		// The record has the reason: only the case and the memory limit end processes.
		_ = cmd.Wait()
		close(exited)
	})
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.process, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// end kills the process for good.
func (n *node) end() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.kill()
}

// runsSince returns the time of the last start.
func (n *node) runsSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startAt
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, portReady))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// pollReady asks once a second whether the node is ready, as the platform does.
func (n *node) pollReady() {
	for n.world.sleep(readinessGap) {
		n.isReady()
	}
}

// anonymousMB returns the anonymous memory of the process in MiB, or 0 if it has ended.
func (n *node) anonymousMB() float64 {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory kills the process when its anonymous memory exceeds memory_mb, and starts
// it again after a second. It returns when the case ends.
func (n *node) enforceMemory() {
	for n.world.sleep(5 * time.Millisecond) {
		used := n.anonymousMB()
		n.mu.Lock()
		n.peakMB = max(n.peakMB, used)
		n.mu.Unlock()
		if used <= float64(n.bounds.memoryMB) {
			continue
		}
		n.world.logf("%s uses %.0f MiB, memory_mb is %d: the platform kills the process", n.name, used, n.bounds.memoryMB)
		n.kill()
		if !n.world.sleep(time.Second) {
			return
		}
		if err := n.start(); err != nil {
			n.world.logf("%s does not start: %v", n.name, err)
			return
		}
	}
}

func (n *node) peak() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakMB
}

// pid returns the process id.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid()))
	if err != nil {
		return 0
	}
	return len(files)
}
