package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/policy"
)

func host(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.1.0.1:7070","site":"a","class":"m2","block":3,"health":%q,`+
		`"share":1.5,"born_ms":1700000000123}`, name, health)
}

func update(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

func table() *Decoder { return NewDecoder([]string{"b", "a"}, []string{"m1", "m2"}) }

func TestHostsBecomeMembers(t *testing.T) {
	u, hosts, bad, err := table().Decode([]byte(update(41, true, host("s-1", "SERVING"), host("s-2", "DRAINING"),
		host("s-3", "DELETED"))))
	if err != nil || len(bad) != 0 || len(hosts) != 3 || u.Version != 41 || !u.Complete {
		t.Fatalf("%+v, %v, %v, %v", u, hosts, bad, err)
	}
	want := policy.Member{Server: hosts[0].Member.Server, Zone: 1, Cell: 3, InstanceType: 1, Mode: policy.ModeReady, Size: 1.5,
		StartedAt: 1700000000123000}
	if hosts[0].Member != want || hosts[1].Member.Mode != policy.ModeDraining ||
		hosts[2].Member.Mode != policy.ModeGone || hosts[2].Address != "" {
		t.Errorf("%+v", hosts)
	}
}

// One bad host costs only itself.
func TestBadHostsAreLeftOut(t *testing.T) {
	good := host("s-1", "SERVING")
	for _, bad := range []string{`7`, `{}`, host("", "SERVING"), host("s-2", "ODD"),
		strings.Replace(good, `"site":"a"`, `"site":"elsewhere"`, 1), strings.Replace(good, "7070", "x", 1),
		strings.Replace(good, `"block":3`, `"block":-1`, 1), strings.Replace(good, "1700000000123", "-5", 1)} {
		_, hosts, errs, err := table().Decode([]byte(update(1, true, bad, good)))
		if err != nil || len(hosts) != 1 || len(errs) != 1 {
			t.Errorf("%s: %d hosts, %v, %v", bad, len(hosts), errs, err)
		}
	}
}

// Two names whose hashes are equal get different ids, and the same ones in whatever order a list has them.
func TestIDs(t *testing.T) {
	ids := func(names ...string) map[string]uint32 {
		var hosts []string
		for _, n := range names {
			hosts = append(hosts, host(n, "SERVING"))
		}
		_, read, _, err := table().Decode([]byte(update(1, true, hosts...)))
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]uint32{}
		for _, h := range read {
			got[h.Name] = h.Member.Server
		}
		return got
	}
	a, b := ids("liquid", "s-1", "costarring"), ids("costarring", "liquid", "s-1") // a known collision of FNV-1a
	if a["liquid"] == a["costarring"] {
		t.Error("two hosts share an id")
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("%s is %d and %d", name, a[name], b[name])
		}
	}
	if alone := ids("s-1"); alone["s-1"] != a["s-1"] {
		t.Error("an id depends on what else is listed")
	}
}

// heard is what a module and a fleet are told, in order.
type heard struct {
	mu    sync.Mutex
	lines []string
}

func (h *heard) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	names := map[policy.EventKind]string{policy.MembershipFull: "full", policy.MembershipCached: "cached",
		policy.MembershipDelta: "delta", policy.DiscoveryFailed: "failed", policy.DiscoveryTimedOut: "silent"}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, fmt.Sprintf("%s %d", names[kind], len(members)))
}

func (h *heard) SetBackend(_ uint32, addr string, ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, fmt.Sprintf("%q %v", addr, ready))
}

func (h *heard) expect(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.Join(h.lines, "; ") != strings.Join(want, "; ") {
		t.Errorf("heard %q, want %q", h.lines, want)
	}
	h.lines = nil
}

// watching starts a watcher whose calls go to serve, which gets the call's target.
func watching(t *testing.T, h *heard, known string, serve func(target string, c net.Conn)) *Watcher {
	return watchingFor(t, h, func(*Watcher) Policy { return h }, known, serve)
}

// watchingFor is watching with another module than what keeps what it is told.
func watchingFor(t *testing.T, h *heard, module func(*Watcher) Policy, known string, serve func(target string, c net.Conn)) *Watcher {
	w := NewWatcher("127.0.0.1:1", table(), h, slog.New(slog.DiscardHandler))
	w.dial = func(_ context.Context, addr string, _ time.Time) (net.Conn, error) {
		if serve == nil {
			return nil, errors.New("refused")
		}
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			req, err := http.ReadRequest(bufio.NewReader(there))
			if err == nil {
				if addr != "127.0.0.1:1" {
					req.RequestURI = addr + req.RequestURI
				}
				serve(req.RequestURI, there)
			}
		}()
		return here, nil
	}
	w.Start(module(w), []byte(known))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func line(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text) }

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heard
		lines := make(chan string)
		w := watching(t, &h, update(41, true, host("s-1", "SERVING"), host("s-2", "SERVING")),
			func(target string, c net.Conn) {
				if target != "/v1/endpoints?stream=1&index=41" {
					t.Errorf("asked for %s", target)
				}
				io.WriteString(c, begin)
				for text := range lines {
					line(c, text)
				}
			})
		const here = `"127.1.0.1:7070" `
		h.expect(t, here+"true", here+"true", "cached 2")
		if !w.HasEndpoints() {
			t.Error("the known list is not held")
		}
		w.RestartWatch()
		lines <- ""
		h.expect(t, "delta 0") // the call is answered, though nothing changed
		lines <- update(42, false, host("s-1", "DRAINING"))
		h.expect(t, here+"false", "delta 1")
		lines <- update(43, true, host("s-3", "SERVING"))
		h.expect(t, here+"true", `"" false`, `"" false`, "full 1") // s-1 and s-2 are dropped
		lines <- update(44, false, host("s-3", "DELETED"), host("s-4", "SERVING"))
		h.expect(t, `"" false`, here+"true", "delta 2")
		if len(w.endpoints) != 1 || len(w.decoder.ids) != 1 || len(w.decoder.names) != 1 {
			t.Errorf("hosts that are gone are remembered: %v %v", w.endpoints, w.decoder.ids)
		}
		time.Sleep(silenceTimeout - time.Second)
		lines <- ""
		time.Sleep(silenceTimeout - time.Second)
		h.expect(t)
		time.Sleep(2 * time.Second) // silent past its heartbeats
		h.expect(t, "silent 0")
		close(lines)
	})
}

// A move takes effect at once and unasked, keeps the list, and asks the new discovery for all that it has.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heard
		calls := make(chan string, 9)
		w := watching(t, &h, update(41, true, host("s-1", "SERVING")), func(target string, c net.Conn) {
			calls <- target
			io.WriteString(c, begin)
			if strings.HasPrefix(target, "127.0.0.2") {
				line(c, update(7, true, host("s-2", "SERVING")))
			} else {
				line(c, "")
			}
			io.Copy(io.Discard, c)
		})
		w.RestartWatch()
		const here = `"127.1.0.1:7070" `
		h.expect(t, here+"true", "cached 1", "delta 0")
		w.SetSource("127.0.0.1:1", w.decoder.zones, w.decoder.instanceTypes) // where it is already
		h.expect(t)
		w.SetSource("127.0.0.2:1", w.decoder.zones, w.decoder.instanceTypes)
		h.expect(t, here+"true", `"" false`, "full 1")
		if first, second := <-calls, <-calls; first != "/v1/endpoints?stream=1&index=41" ||
			second != "127.0.0.2:1/v1/endpoints?stream=1&index=0" || len(calls) != 0 {
			t.Errorf("asked for %s and %s", first, second)
		}
	})
}

// What it is that failed is told: after a silence what was missed counts as told soon, and the module must not take its time.
func TestFailedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(string, net.Conn)
		want  string
	}{
		"refused": {nil, "failed 0"},
		"reset":   {func(string, net.Conn) {}, "failed 0"},
		"busy":    {func(_ string, c net.Conn) { io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, "failed 0"},
		"silent":  {func(_ string, c net.Conn) { io.Copy(io.Discard, c) }, "silent 0"},
		"ended":   {func(_ string, c net.Conn) { io.WriteString(c, begin+"0\r\n\r\n") }, "failed 0"},
		"half a line": {func(_ string, c net.Conn) {
			fmt.Fprintf(c, begin+"9\r\n%s\r\n", `{"seq":42`)
			io.Copy(io.Discard, c)
		}, "silent 0"},
		"byte by byte": {func(_ string, c net.Conn) {
			io.WriteString(c, begin)
			for _, b := range []byte(update(42, true, host("s-1", "DRAINING"))) {
				if _, err := fmt.Fprintf(c, "1\r\n%c\r\n", b); err != nil {
					return
				}
				time.Sleep(silenceTimeout / 4)
			}
		}, "silent 0"},
	} {
		synctest.Test(t, func(t *testing.T) {
			var h heard
			w := watching(t, &h, "", c.serve)
			h.expect(t, "cached 0")
			if w.HasEndpoints() {
				t.Errorf("%s: an empty list counts as held", name)
			}
			w.RestartWatch()
			time.Sleep(2 * silenceTimeout)
			t.Log(name)
			h.expect(t, c.want)
		})
	}
}

// Lists may come indented, over many lines, in pieces of any size, with empty lines between messages and within them.
func TestIndentedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heard
		indented := func(text string) string {
			var out bytes.Buffer
			if err := json.Indent(&out, []byte(text), "", "  "); err != nil {
				t.Fatal(err)
			}
			return strings.Replace(out.String(), "[", "[\n\n", 1)
		}
		odd := strings.Replace(host("s-9", "SERVING"), `"class":"m2"`, `"class":"}\"{\\"`, 1) // brackets that are text
		w := watching(t, &h, "", func(_ string, c net.Conn) {
			io.WriteString(c, begin)
			all := indented(update(1, true, host("s-1", "SERVING"), odd)) + "\n\n" + update(2, false, host("s-9", "DELETED")) + "\n\n\n" +
				indented(update(3, false, host("s-1", "DRAINING"))) + "\n"
			for len(all) > 0 {
				n := min(len(all), 1+len(all)%7)
				fmt.Fprintf(c, "%x\r\n%s\r\n", n, all[:n])
				all = all[n:]
			}
			io.Copy(io.Discard, c)
		})
		w.RestartWatch()
		const here = `"127.1.0.1:7070" `
		h.expect(t, "cached 0", here+"true", here+"true", "full 2", `"" false`, "delta 1", here+"false", "delta 1")
	})
}

// A message that can't be used may have told of a drain, and the next one goes on from it: the watch ends, the list stays, and
// the next call asks for all of it.
func TestAnUnusableMessageEndsTheWatch(t *testing.T) {
	for _, bad := range []string{"garbage", `{"seq":"x"}`, "[]", `{"seq":42,"whole":false,"hosts":7}`, "}", `"text"`} {
		synctest.Test(t, func(t *testing.T) {
			var h heard
			targets := make(chan string, 2)
			w := watching(t, &h, update(41, true, host("s-1", "SERVING")), func(target string, c net.Conn) {
				targets <- target
				io.WriteString(c, begin)
				line(c, "")
				line(c, bad)
				line(c, update(43, false, host("s-2", "SERVING")))
				io.Copy(io.Discard, c)
			})
			w.RestartWatch()
			h.expect(t, `"127.1.0.1:7070" true`, "cached 1", "delta 0", "failed 0")
			w.RestartWatch()
			synctest.Wait()
			if first, second := <-targets, <-targets; first != "/v1/endpoints?stream=1&index=41" || second != "/v1/endpoints?stream=1&index=0" {
				t.Errorf("%s: asked for %s, then %s", bad, first, second)
			}
		})
	}
}

// A host that is known and is told with a field that can't be read may be told as draining: it gets no new work until it can be
// read. One that is not known is left out.
func TestAKnownHostThatCantBeReadGetsNoNewWork(t *testing.T) {
	for _, bad := range []string{
		strings.Replace(host("s-1", "DRAINING"), `"site":"a"`, `"site":"elsewhere"`, 1),
		strings.Replace(host("s-1", "DRAINING"), `"block":3`, `"block":"three"`, 1),
		host("s-1", "LEAVING"),
	} {
		synctest.Test(t, func(t *testing.T) {
			var h heard
			w := watching(t, &h, update(41, true, host("s-1", "SERVING"), host("s-2", "SERVING")), func(_ string, c net.Conn) {
				io.WriteString(c, begin)
				line(c, update(42, false, bad, strings.ReplaceAll(bad, "s-1", "s-3")))
				line(c, update(43, false, host("s-1", "SERVING")))
				io.Copy(io.Discard, c)
			})
			w.RestartWatch()
			const here = `"127.1.0.1:7070" `
			h.expect(t, here+"true", here+"true", "cached 2", here+"false", "delta 1", here+"true", "delta 1")
		})
	}
}

// FuzzUpdate feeds the reader cut and garbled updates: whatever comes out must be within the settings.
func FuzzUpdate(f *testing.F) {
	whole := update(41, true, host("s-1", "SERVING"), host("s-2", "DELETED"))
	for cut := 0; cut < len(whole); cut += 17 {
		f.Add([]byte(whole[:cut]))
	}
	f.Add([]byte(whole))
	f.Add([]byte("\x00[{]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, hosts, _, err := table().Decode(text)
		seen := map[uint32]string{}
		for _, h := range hosts {
			m := h.Member
			if err != nil || h.Name == "" || m.Zone > 1 || m.InstanceType > 2 || m.StartedAt < 0 || m.Mode != policy.ModeGone && h.Address == "" {
				t.Errorf("%+v, %v", h, err)
			}
			if other, ok := seen[m.Server]; ok && other != h.Name {
				t.Errorf("%q and %q share an id", other, h.Name)
			}
			seen[m.Server] = h.Name
		}
	})
}
