package calls

import (
	"context"
	"testing"
	"time"

	"lavenderdeal/core/outlier"
	"lavenderdeal/core/verdict"
)

func wantRule(t *testing.T, err error, rule string) {
	t.Helper()
	if got := verdict.Rule(verdict.Of(err)); got != rule {
		t.Errorf("rule %s, want %s", got, rule)
	}
}

// TestWorse guards against hiding that a call may have run: if a first attempt may
// have run and a second one is refused as not run, a caller that sees only the
// refusal would send the call again.
func TestWorse(t *testing.T) {
	broke := verdict.Unknown("serverBroke", "", nil)
	unreachable := verdict.Refuse("peerUnreachable", "")
	full := verdict.Refuse("queueFull", "")
	t.Run("first failure", func(t *testing.T) { wantRule(t, worse(nil, full), "queueFull") })
	t.Run("the first attempt may have run", func(t *testing.T) { wantRule(t, worse(broke, full), "serverBroke") })
	t.Run("the second attempt may have run", func(t *testing.T) { wantRule(t, worse(unreachable, broke), "serverBroke") })
	t.Run("no other server", func(t *testing.T) {
		wantRule(t, worse(unreachable, verdict.Refuse(ruleNoServer, "")), "peerUnreachable")
	})
	t.Run("the second attempt refused", func(t *testing.T) { wantRule(t, worse(unreachable, full), "queueFull") })
}

// TestOutcomeOf guards against ejecting a healthy server because of results that say
// nothing about it, such as refusals and calls that their caller canceled, and
// against missing those of a failed server.
func TestOutcomeOf(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		err  error
		want outlier.Outcome
	}{
		{"answer", t.Context(), nil, outlier.Answered{}},
		{"refusal", t.Context(), verdict.Refuse("queueFull", ""), outlier.Answered{}},
		{"unreachable", t.Context(), verdict.Refuse("serverUnreachable", ""), outlier.Failed{}},
		{"broken", t.Context(), verdict.Unknown("peerBroke", "", nil), outlier.Failed{}},
		{"time-out", t.Context(), verdict.Unknown("deadlinePassed", "", nil), outlier.TimedOut{Took: time.Second}},
		{"the caller left", gone, verdict.Unknown("deadlinePassed", "", nil), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := outcomeOf(tt.ctx, time.Second, tt.err); got != tt.want {
				t.Errorf("outcome %#v, want %#v", got, tt.want)
			}
		})
	}
}
