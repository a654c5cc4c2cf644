// Command standin plays the cases of review/ that are scripts. It starts the nodes of a
// small deployment as separate processes on loopback addresses, and holds the stand-ins
// for the platform, the servers and the clients. It prints what was sent, answered and
// run to record.txt in the folder of the case:
//
//	standin CASE DIR
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*world) (bool, error){"memory": memoryCase, "leave": leaveCase, "connections": connectionsCase, "link": linkCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays one case and returns the exit status.
func run(play func(*world) (bool, error), dir string) int {
	w, err := newWorld(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	w.spawn(func() {
		select {
		case <-w.done:
		case <-signals:
			for _, n := range w.nodes {
				n.end()
			}
			os.Exit(exitNotRun)
		}
	})
	broken, err := play(w)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}
