// Package gozero configures the process-wide state of the framework go-zero: its log,
// its statistics and its signal handling. It turns off all parts of go-zero that act on
// their own, such as the log of statistics and the shutdown on a signal.
package gozero

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
)

// shutdownDelay is longer than any shutdown of a node, so that go-zero never closes
// the listeners or ends the process on a signal. The node handles its shutdown
// itself.
const shutdownDelay = 365 * 24 * time.Hour

// Setup configures go-zero. Packages call it before they use go-zero. Only the first
// call has an effect.
var Setup = sync.OnceFunc(func() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: shutdownDelay, WaitTime: 2 * shutdownDelay})
	stat.DisableLog()
	logx.DisableStat()
	// At levels below severe, go-zero's HTTP client httpc logs each call.
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(writer{})
})

// writer passes the log lines of go-zero to apex/log.
type writer struct{}

func (writer) Alert(v any)                     { log.Error(fmt.Sprint(v)) }
func (writer) Close() error                    { return nil }
func (writer) Debug(v any, _ ...logx.LogField) { log.Debug(fmt.Sprint(v)) }
func (writer) Error(v any, _ ...logx.LogField) { log.Error(fmt.Sprint(v)) }
func (writer) Info(v any, _ ...logx.LogField)  { log.Info(fmt.Sprint(v)) }
func (writer) Severe(v any)                    { log.Error(fmt.Sprint(v)) }
func (writer) Slow(v any, _ ...logx.LogField)  { log.Warn(fmt.Sprint(v)) }
func (writer) Stack(v any)                     { log.Error(fmt.Sprint(v)) }
func (writer) Stat(v any, _ ...logx.LogField)  { log.Debug(fmt.Sprint(v)) }
