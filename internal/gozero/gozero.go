// Package gozero sets up what go-zero keeps for the whole process: its log, its
// statistics and its reaction to signals. This package is the one place where
// the parts of go-zero are turned off that would act behind the node's back.
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

// ownShutdown is longer than any stop, so that go-zero never closes the
// listeners nor ends the process on a signal: the node owns its shutdown.
const ownShutdown = 365 * 24 * time.Hour

// Setup prepares go-zero. It may be called often; only the first call acts.
var Setup = sync.OnceFunc(func() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: ownShutdown, WaitTime: 2 * ownShutdown})
	stat.DisableLog()
	logx.DisableStat()
	// httpc writes a line for each call at the levels below severe.
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(writer{})
})

// writer passes go-zero's lines on to apex/log.
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
