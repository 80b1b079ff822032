package coordinationsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// lockStep is an event that a caller of a lock observes. Times are in milliseconds.
type lockStep struct {
	at     int
	caller int
	does   string // acquires, renews or releases
	token  message.FencingToken
	sentAt int
	holdMs int64
}

// violationsOfLock passes the steps to a lock checker and returns the violated rules.
func violationsOfLock(steps []lockStep) (rules []Rule) {
	c := newCluster(Options{})
	c.callers = 2
	for _, s := range steps {
		c.now = time.Duration(s.at) * time.Millisecond
		x := &exchange{
			caller: s.caller, call: message.Call{Lock: "lock", HoldMs: s.holdMs, Token: s.token},
			sentAt: time.Duration(s.sentAt) * time.Millisecond, endedAt: c.now, ended: true, status: coordination.StatusOK,
			answer: message.Answer{Token: s.token},
		}
		switch s.does {
		case "acquires":
			c.locks.onAcquired(x, c.locks.floors("lock", s.caller))
		case "renews":
			c.locks.onRenewed(x)
		case "releases":
			c.locks.onReleaseSent("lock", s.caller)
		}
	}
	for _, v := range c.log.violations {
		rules = append(rules, v.Rule)
	}
	return rules
}

func TestLockChecker(t *testing.T) {
	one := []Rule{RuleOneHolder}
	for _, c := range []struct {
		name  string
		steps []lockStep
		want  []Rule
	}{
		{"acquired after the release", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {20, 1, "releases", 1, 20, 0}, {30, 2, "acquires", 2, 22, 1000}}, nil},
		{"acquired before the release", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {20, 2, "acquires", 2, 12, 1000}}, one},
		{"acquired when the hold, counted from its call, is over", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {1005, 2, "acquires", 2, 1000, 1000}}, nil},
		{"acquired 1 ms before the hold is over", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {1004, 2, "acquires", 2, 1000, 1000}}, one},
		{"acquired within a renewed hold", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {900, 1, "renews", 1, 890, 1000}, {1500, 2, "acquires", 2, 1490, 1000}}, one},
		{"a renewal answered after the end of the hold extends nothing", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {1010, 1, "renews", 1, 890, 1000}, {1500, 2, "acquires", 2, 1490, 1000}}, nil},
		{"a grant answered after the end of its hold counts for nothing", []lockStep{
			{1100, 1, "acquires", 1, 5, 1000}, {1110, 2, "acquires", 2, 1105, 1000}}, nil},
		{"acquired when a hold shortened by its renewal is over", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {20, 1, "renews", 1, 15, 100}, {115, 2, "acquires", 2, 110, 1000}}, nil},
		{"acquired 1 ms before a hold shortened by its renewal is over", []lockStep{
			{10, 1, "acquires", 1, 5, 1000}, {20, 1, "renews", 1, 15, 100}, {114, 2, "acquires", 2, 110, 1000}}, one},
		{"the same token for two holders", []lockStep{
			{10, 1, "acquires", 7, 5, 1000}, {20, 1, "releases", 7, 20, 0}, {30, 2, "acquires", 7, 22, 1000}},
			[]Rule{RuleOneHolder, RuleOneHolder}},
		{"a token below that of another caller", []lockStep{
			{10, 1, "acquires", 7, 5, 1000}, {20, 1, "releases", 7, 20, 0}, {30, 2, "acquires", 6, 22, 1000}}, one},
		{"a token below the caller's own", []lockStep{
			{10, 1, "acquires", 7, 5, 1000}, {30, 1, "acquires", 6, 22, 1000}}, one},
		{"the caller's own token again", []lockStep{
			{10, 1, "acquires", 7, 5, 1000}, {30, 1, "acquires", 7, 22, 1000}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, violationsOfLock(c.steps)) })
	}
}
