package faulttest

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// A frozen process does nothing and goes on when it is thawed; the harness ends it, and its history has all of that in
// order.
func TestProcess_FreezeThawAndClose(t *testing.T) {
	h := New()
	p, err := h.StartProcess("ticker", exec.Command("sh", "-c", "while :; do echo tick; sleep 0.01; done"))
	if err != nil {
		t.Fatal(err)
	}
	grows := func() bool {
		before := len(p.Log())
		time.Sleep(200 * time.Millisecond)
		return len(p.Log()) > before
	}
	running := grows()
	p.Freeze()
	time.Sleep(50 * time.Millisecond)
	frozen := grows()
	p.Thaw()
	if thawed := grows(); !running || frozen || !thawed {
		t.Errorf("running %v, frozen %v, thawed %v", running, frozen, thawed)
	}
	h.Close()
	if err := p.Wait(time.Now().Add(time.Second)); err == nil || grows() {
		t.Errorf("it goes on after the harness was closed: %v", err)
	}
	at := -1
	for _, event := range []string{"starts", "is frozen", "is thawed", "is killed", "has ended: signal: killed"} {
		if next := strings.Index(h.String(), event); next <= at {
			t.Errorf("%q is missing or out of order in\n%s", event, h)
		} else {
			at = next
		}
	}
}

func TestHarness_StartsNothingAfterClose(t *testing.T) {
	h := New()
	h.Close()
	if _, err := h.StartRelay("late", "127.0.0.1:1"); !errors.Is(err, ErrClosed) {
		t.Errorf("relay: %v", err)
	}
	if _, err := h.StartDatagramRelay("late", "127.0.0.1:1", 1); !errors.Is(err, ErrClosed) {
		t.Errorf("datagram relay: %v", err)
	}
	if _, err := h.StartProcess("late", exec.Command("sleep", "10")); !errors.Is(err, ErrClosed) {
		t.Errorf("process: %v", err)
	}
}
