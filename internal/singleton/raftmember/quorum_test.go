package raftmember

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"pumiceline/internal/singleton"
)

// few are three members in this process, whose disks stay while they come and go.
type few struct {
	t       *testing.T
	addrs   map[uint64]string
	dirs    map[uint64]string
	stop    map[uint64]context.CancelFunc
	ended   map[uint64]chan error
	compact uint64
}

func newFew(t *testing.T, compact uint64) *few {
	f := &few{t, map[uint64]string{}, map[uint64]string{}, map[uint64]context.CancelFunc{}, map[uint64]chan error{}, compact}
	for id := range uint64(3) {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.6.%d:0", id+1)) // an address of its own: no connection of others takes the port
		if err != nil {
			t.Fatal(err)
		}
		f.addrs[id+1], f.dirs[id+1] = ln.Addr().String(), t.TempDir()
		ln.Close()
	}
	t.Cleanup(func() {
		for id := range f.stop {
			f.end(id)
		}
	})
	return f
}

// start starts a member on its disk.
func (f *few) start(id uint64) { f.stop[id], f.ended[id] = f.startOn(id, f.dirs[id], f.addrs[id]) }

func (f *few) startAll() {
	for id := range uint64(3) {
		f.start(id + 1)
	}
}

func (f *few) startOn(id uint64, dir, listen string) (context.CancelFunc, chan error) {
	f.t.Helper()
	m, err := Open(Options{Fleet: "f", ID: id, Members: f.addrs, Dir: dir, CompactFrom: f.compact, Log: slog.New(slog.DiscardHandler),
		Settings: singleton.Settings{Roles: []string{"w"}, LeaseDuration: 1e6, MaxClockDrift: 0.2}})
	if err != nil {
		f.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx, ln) }()
	return stop, ended
}

// end has a member end, and returns how it did.
func (f *few) end(id uint64) error {
	f.stop[id]()
	delete(f.stop, id)
	return <-f.ended[id]
}

// ask makes a call to a member that is over by a moment.
func (f *few) ask(method, addr, path string, body, into any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(2*time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("X-Fleet", "f")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2 && (into == nil || json.NewDecoder(resp.Body).Decode(into) == nil)
}

// soon waits for what has to come; the bound is for a slow machine.
func (f *few) soon(what string, yes func() bool) {
	f.t.Helper()
	for by := time.Now().Add(30 * time.Second); !yes(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(by) {
			f.t.Fatalf("in vain: %s", what)
		}
	}
}

// own has an instance own the work from now on: a wish for one that is not there is dropped where nobody owns it.
func (f *few) own() {
	owned, over := make(chan struct{}), make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(func() { stop(); <-over })
	go func() {
		defer close(over)
		b := singleton.Heartbeat{Name: "a", Incarnation: 1}
		for steps := uint64(1); ctx.Err() == nil; steps++ {
			for _, addr := range f.addrs {
				var a singleton.HeartbeatResponse
				if !f.ask("POST", addr, "/v1/beat", b, &a) {
					continue
				}
				b.Leases = nil
				for _, y := range a.Leases {
					b.Leases = append(b.Leases, singleton.LeaseReport{Role: y.Role, Token: y.Token, Steps: steps})
				}
				if len(a.Leases) > 0 {
					select {
					case <-owned:
					default:
						close(owned)
					}
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	<-owned
}

// wish has a wish agreed on.
func (f *few) wish(who string) {
	f.t.Helper()
	f.soon("a wish", func() bool {
		for id := range f.stop {
			if f.ask("POST", f.addrs[id], "/v1/works/w/want?who="+who, nil, nil) {
				return true
			}
		}
		return false
	})
}

// agree waits till all that run have carried out as much, and the state holds the wish; it returns it.
func (f *few) agree(wish string) (work singleton.Assignment) {
	f.t.Helper()
	f.soon("all agree", func() bool {
		var first Status
		for id := range f.stop {
			var s Status
			if !f.ask("GET", f.addrs[id], "/v1/status", nil, &s) || s.Works["w"].DesiredHolder != wish || s.Leader == 0 || first.ID != 0 && s.Applied != first.Applied {
				return false
			}
			first = s
		}
		work = first.Works["w"]
		return true
	})
	return work
}

// The log is cut off behind snapshots, and who was away for long gets one; all that was agreed on is there after every member has
// started anew, and after a member has come from a snapshot alone.
func TestSnapshots(t *testing.T) {
	f := newFew(t, 40)
	f.startAll()
	f.own()
	if err := f.end(3); err != nil {
		t.Error(err)
	}
	for n := range 200 {
		f.wish(fmt.Sprint("i", n))
	}
	f.start(3)
	f.wish("last")
	work := f.agree("last")
	if work.Token == 0 || work.Holder != "a" {
		t.Errorf("%+v", work)
	}
	for id := range uint64(3) {
		if err := f.end(id + 1); err != nil {
			t.Error(err)
		}
		db, err := bbolt.Open(filepath.Join(f.dirs[id+1], "member.db"), 0o600, &bbolt.Options{ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		if err := db.View(func(tx *bbolt.Tx) error {
			if n := tx.Bucket(logBucket).Stats().KeyN; n > 60 {
				t.Errorf("member %d keeps %d entries on its disk", id+1, n)
			}
			return nil
		}); err != nil {
			t.Error(err)
		}
		db.Close()
	}
	f.startAll()
	if again := f.agree("last"); again.Token < work.Token {
		t.Errorf("%+v after all have started anew, before %+v", again, work)
	}
	f.end(1) // the snapshot that member 3 got counts as much as any
	f.wish("without-1")
	f.agree("without-1")
}

// A member whose disk is an older copy or empty is refused, and of two processes of one number the first ends once the second takes part; the
// others go on.
func TestDisks(t *testing.T) {
	f := newFew(t, 0)
	f.startAll()
	f.own()
	f.wish("before")
	f.agree("before")
	f.end(3)
	older := t.TempDir()
	if out, err := exec.Command("cp", filepath.Join(f.dirs[3], "member.db"), older).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f.start(3)
	f.wish("after")
	f.agree("after")
	f.end(3)
	for name, dir := range map[string]string{"an older copy": older, "an empty disk": t.TempDir()} {
		stop, ended := f.startOn(3, dir, f.addrs[3])
		select {
		case err := <-ended:
			if !errors.Is(err, errOlder) && (err == nil || !strings.Contains(err.Error(), errOlder.Error())) {
				t.Errorf("%s: %v", name, err)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s takes part", name)
		}
		stop()
	}
	f.start(3)
	f.wish("again")
	f.agree("again")

	twin := t.TempDir()
	if out, err := exec.Command("cp", filepath.Join(f.dirs[3], "member.db"), twin).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	stop, ended := f.startOn(3, twin, "127.0.6.9:0")
	select {
	case err := <-f.ended[3]:
		if err == nil || !strings.Contains(err.Error(), "started elsewhere") {
			t.Errorf("the first of two processes of a number: %v", err)
		}
		f.ended[3] <- err // for end
	case <-time.After(20 * time.Second):
		t.Error("two processes of a number take part")
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("the second: %v", err)
	}
	f.end(3)
	f.wish("and-on")
	f.agree("and-on")
}

// Members of two fleets that come to one another's addresses do not hear one another: neither agrees to what the other says, nor ends for it.
func TestAnotherFleet(t *testing.T) {
	f := newFew(t, 0)
	f.startAll()
	f.own()
	f.wish("ours")
	stranger, err := Open(Options{Fleet: "g", ID: 3, Members: map[uint64]string{1: f.addrs[1], 2: f.addrs[2], 3: "127.0.6.8:1"}, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler), Settings: singleton.Settings{Roles: []string{"w"}, LeaseDuration: 1e6}})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.6.8:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- stranger.Run(ctx, ln) }()
	time.Sleep(300 * time.Millisecond) // it says who it is, again and again
	stop()
	if err := <-ended; err != nil {
		t.Errorf("the stranger: %v", err)
	}
	f.wish("still-ours")
	f.agree("still-ours")
}
