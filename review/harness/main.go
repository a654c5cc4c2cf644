// Command harness plays the scripts of the second review: it starts nodes as separate processes
// on loopback addresses, with stand-ins for the platform's store, the servers and the clients.
//
//	harness crash review/6/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. A case returns its result.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"crash": playCrash,
	"drain": playDrain,
	"quota": playQuota,
	"split": playSplit,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return failed
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.end()
	result, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.say("cannot run: %v", err)
		return failed
	}
	f.say("result %d", result)
	return result
}
