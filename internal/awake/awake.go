// Package awake has a clock that is not stopped while the machine is suspended, nor set.
//
//	started := awake.Now()
//	elapsed := awake.Now().Sub(started)
package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is a time of day, so that times of [Now] are readable, and startUptime the uptime
// then.
var (
	start       = time.Now().Round(0)
	startUptime = uptime()
)

// Now returns a time that is comparable only with other results of Now in this process.
func Now() time.Time { return start.Add(uptime() - startUptime) }

// uptime returns the time since the machine was started.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}
