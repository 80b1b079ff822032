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

// recorder is a Policy and Backends that records its notifications in order.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	names := map[policy.EventKind]string{policy.MembershipFull: "full", policy.MembershipCached: "cached",
		policy.MembershipDelta: "delta", policy.DiscoveryFailed: "failed", policy.DiscoveryTimedOut: "timed out"}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%s %d", names[kind], len(members)))
}

func (r *recorder) SetBackend(_ uint32, addr string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%q %v", addr, ready))
}

// expect checks the notifications since the last call, and clears them.
func (r *recorder) expect(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.Join(r.lines, "; ") != strings.Join(want, "; ") {
		t.Errorf("notified of %q, want %q", r.lines, want)
	}
	r.lines = nil
}

// startWatcher starts a watcher. serve responds to a request with the given target; if it is nil, connections are
// refused.
func startWatcher(t *testing.T, r *recorder, cached string, serve func(target string, conn net.Conn)) *Watcher {
	t.Helper()
	return startWatcherFor(t, r, func(*Watcher) Policy { return r }, cached, serve)
}

// startWatcherFor is startWatcher with the policy that newPolicy returns.
func startWatcherFor(t *testing.T, backends Backends, newPolicy func(*Watcher) Policy, cached string,
	serve func(target string, conn net.Conn)) *Watcher {
	t.Helper()
	dial := func(_ context.Context, addr string, _ time.Time) (net.Conn, error) {
		if serve == nil {
			return nil, errors.New("refused")
		}
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			req, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil {
				if addr != testSource.Address {
					req.RequestURI = addr + req.RequestURI
				}
				serve(req.RequestURI, server)
			}
		}()
		return client, nil
	}
	w := NewWatcher(Options{Source: testSource, Dial: dial, Backends: backends, Log: slog.New(slog.DiscardHandler)})
	w.Start(newPolicy(w), []byte(cached))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// responseHead is the head of the response to a watch.
const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// sendLine sends one line of a watch.
func sendLine(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text) }

// A watch applies updates, confirms an unchanged list, and times out if there are no heartbeats.
func TestWatcher_AppliesUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		lines := make(chan string)
		w := startWatcher(t, &r, updateJSON(41, true, entryJSON("s-1", "SERVING"), entryJSON("s-2", "SERVING")),
			func(target string, conn net.Conn) {
				if target != "/v1/endpoints?stream=1&index=41" {
					t.Errorf("requested %s", target)
				}
				io.WriteString(conn, responseHead)
				for text := range lines {
					sendLine(conn, text)
				}
			})
		const address = `"127.1.0.1:7070" `
		r.expect(t, address+"true", address+"true", "cached 2")
		if !w.HasEndpoints() {
			t.Error("the cached list does not count as endpoints")
		}
		w.RestartWatch()
		lines <- ""
		r.expect(t, "delta 0") // confirms the list, though nothing changed
		lines <- updateJSON(42, false, entryJSON("s-1", "DRAINING"))
		r.expect(t, address+"false", "delta 1")
		lines <- updateJSON(43, true, entryJSON("s-3", "SERVING"))
		r.expect(t, address+"true", `"" false`, `"" false`, "full 1") // s-1 and s-2 are removed
		lines <- updateJSON(44, false, entryJSON("s-3", "DELETED"), entryJSON("s-4", "SERVING"))
		r.expect(t, `"" false`, address+"true", "delta 2")
		if len(w.endpoints) != 1 || len(w.decoder.ids) != 1 || len(w.decoder.names) != 1 {
			t.Errorf("removed backends are still in memory: %v %v", w.endpoints, w.decoder.ids)
		}
		time.Sleep(heartbeatTimeout - time.Second)
		lines <- ""
		time.Sleep(heartbeatTimeout - time.Second)
		r.expect(t)
		time.Sleep(2 * time.Second) // past heartbeatTimeout
		r.expect(t, "timed out 0")
		close(lines)
	})
}

// SetSource starts a watch at once, without a request by the policy. The list is kept, and the complete list is
// requested.
func TestWatcher_SetSource(t *testing.T) {
	otherSource := testSource
	otherSource.Address = "127.0.0.2:1"
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		calls := make(chan string, 9)
		w := startWatcher(t, &r, updateJSON(41, true, entryJSON("s-1", "SERVING")), func(target string, conn net.Conn) {
			calls <- target
			io.WriteString(conn, responseHead)
			if strings.HasPrefix(target, "127.0.0.2") {
				sendLine(conn, updateJSON(7, true, entryJSON("s-2", "SERVING")))
			} else {
				sendLine(conn, "")
			}
			io.Copy(io.Discard, conn)
		})
		w.RestartWatch()
		const address = `"127.1.0.1:7070" `
		r.expect(t, address+"true", "cached 1", "delta 0")
		w.SetSource(testSource) // the current source
		r.expect(t)
		w.SetSource(otherSource)
		r.expect(t, address+"true", `"" false`, "full 1")
		if first, second := <-calls, <-calls; first != "/v1/endpoints?stream=1&index=41" ||
			second != "127.0.0.2:1/v1/endpoints?stream=1&index=0" || len(calls) != 0 {
			t.Errorf("requested %s and %s", first, second)
		}
	})
}

// The policy is notified whether a watch failed or timed out: after a timeout it must request the next watch sooner.
func TestWatcher_ReportsHowWatchEnded(t *testing.T) {
	for _, tc := range []struct {
		name  string
		serve func(string, net.Conn)
		want  string
	}{
		{"refused", nil, "failed 0"},
		{"reset", func(string, net.Conn) {}, "failed 0"},
		{"503", func(_ string, conn net.Conn) { io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, "failed 0"},
		{"no response", func(_ string, conn net.Conn) { io.Copy(io.Discard, conn) }, "timed out 0"},
		{"ended", func(_ string, conn net.Conn) { io.WriteString(conn, responseHead+"0\r\n\r\n") }, "failed 0"},
		{"half a line", func(_ string, conn net.Conn) {
			fmt.Fprintf(conn, responseHead+"9\r\n%s\r\n", `{"seq":42`)
			io.Copy(io.Discard, conn)
		}, "timed out 0"},
		{"byte by byte", func(_ string, conn net.Conn) {
			io.WriteString(conn, responseHead)
			for _, b := range []byte(updateJSON(42, true, entryJSON("s-1", "DRAINING"))) {
				if _, err := fmt.Fprintf(conn, "1\r\n%c\r\n", b); err != nil {
					return
				}
				time.Sleep(heartbeatTimeout / 4)
			}
		}, "timed out 0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r recorder
				w := startWatcher(t, &r, "", tc.serve)
				r.expect(t, "cached 0")
				if w.HasEndpoints() {
					t.Error("an empty cached list counts as endpoints")
				}
				w.RestartWatch()
				time.Sleep(2 * heartbeatTimeout)
				r.expect(t, tc.want)
			})
		})
	}
}

// Messages may be indented, span lines, arrive in chunks of any size, and have empty lines between and within them.
func TestWatcher_ReadsIndentedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		indented := func(text string) string {
			var out bytes.Buffer
			if err := json.Indent(&out, []byte(text), "", "  "); err != nil {
				t.Fatal(err)
			}
			return strings.Replace(out.String(), "[", "[\n\n", 1)
		}
		braces := strings.Replace(entryJSON("s-9", "SERVING"), `"class":"m2"`, `"class":"}\"{\\"`, 1) // brackets in a string
		w := startWatcher(t, &r, "", func(_ string, conn net.Conn) {
			io.WriteString(conn, responseHead)
			all := indented(updateJSON(1, true, entryJSON("s-1", "SERVING"), braces)) + "\n\n" + updateJSON(2, false, entryJSON("s-9", "DELETED")) + "\n\n\n" +
				indented(updateJSON(3, false, entryJSON("s-1", "DRAINING"))) + "\n"
			for len(all) > 0 {
				n := min(len(all), 1+len(all)%7)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", n, all[:n])
				all = all[n:]
			}
			io.Copy(io.Discard, conn)
		})
		w.RestartWatch()
		const address = `"127.1.0.1:7070" `
		r.expect(t, "cached 0", address+"true", address+"true", "full 2", `"" false`, "delta 1", address+"false", "delta 1")
	})
}

// An invalid message may have announced a drain, and the next message has only later changes. So the watch ends, the
// list is kept, and the next watch requests the complete list.
func TestWatcher_InvalidMessageEndsWatch(t *testing.T) {
	for _, bad := range []string{"garbage", `{"seq":"x"}`, "[]", `{"seq":42,"whole":false,"hosts":7}`, "}", `"text"`} {
		synctest.Test(t, func(t *testing.T) {
			var r recorder
			targets := make(chan string, 2)
			w := startWatcher(t, &r, updateJSON(41, true, entryJSON("s-1", "SERVING")), func(target string, conn net.Conn) {
				targets <- target
				io.WriteString(conn, responseHead)
				sendLine(conn, "")
				sendLine(conn, bad)
				sendLine(conn, updateJSON(43, false, entryJSON("s-2", "SERVING")))
				io.Copy(io.Discard, conn)
			})
			w.RestartWatch()
			r.expect(t, `"127.1.0.1:7070" true`, "cached 1", "delta 0", "failed 0")
			w.RestartWatch()
			synctest.Wait()
			first, second := <-targets, <-targets
			if first != "/v1/endpoints?stream=1&index=41" || second != "/v1/endpoints?stream=1&index=0" {
				t.Errorf("%s: requested %s, then %s", bad, first, second)
			}
		})
	}
}

// A listed backend whose entry is invalid may be draining: it gets no new requests until its entry is valid. A backend
// that is not listed is left out.
func TestWatcher_DrainsListedBackendWithInvalidEntry(t *testing.T) {
	for _, bad := range []string{
		strings.Replace(entryJSON("s-1", "DRAINING"), `"site":"a"`, `"site":"elsewhere"`, 1),
		strings.Replace(entryJSON("s-1", "DRAINING"), `"block":3`, `"block":"three"`, 1),
		entryJSON("s-1", "LEAVING"),
	} {
		synctest.Test(t, func(t *testing.T) {
			var r recorder
			cached := updateJSON(41, true, entryJSON("s-1", "SERVING"), entryJSON("s-2", "SERVING"))
			w := startWatcher(t, &r, cached, func(_ string, conn net.Conn) {
				io.WriteString(conn, responseHead)
				sendLine(conn, updateJSON(42, false, bad, strings.ReplaceAll(bad, "s-1", "s-3")))
				sendLine(conn, updateJSON(43, false, entryJSON("s-1", "SERVING")))
				io.Copy(io.Discard, conn)
			})
			w.RestartWatch()
			const address = `"127.1.0.1:7070" `
			r.expect(t, address+"true", address+"true", "cached 2", address+"false", "delta 1", address+"true", "delta 1")
		})
	}
}
