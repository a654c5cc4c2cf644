package node

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain finds goroutines that outlive their nodes. Those that go-zero starts
// when it is loaded stay as long as the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}
