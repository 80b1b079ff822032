package faulttest

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// A frozen process makes no progress until it is thawed. Close kills it, and the history has these events in order.
func TestProcess_FreezeThawAndClose(t *testing.T) {
	h := New()
	p, err := h.StartProcess("ticker", exec.Command("sh", "-c", "while :; do echo tick; sleep 0.01; done"))
	if err != nil {
		t.Fatal(err)
	}
	growsWithin := func(limit time.Duration) bool {
		before := len(p.Log())
		for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if len(p.Log()) > before {
				return true
			}
		}
		return false
	}
	const standstill = 200 * time.Millisecond // twenty ticks
	running := growsWithin(20 * time.Second)
	p.Freeze()
	time.Sleep(50 * time.Millisecond) // for output that is still on its way
	frozen := !growsWithin(standstill)
	p.Thaw()
	if thawed := growsWithin(20 * time.Second); !running || !frozen || !thawed {
		t.Errorf("running %v, frozen %v, thawed %v", running, frozen, thawed)
	}
	h.Close()
	if err := p.Wait(time.Now().Add(time.Second)); err == nil || growsWithin(standstill) {
		t.Errorf("the process runs after the harness was closed: %v", err)
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
