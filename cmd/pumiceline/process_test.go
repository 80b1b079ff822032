package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
	"pumiceline/internal/standalone/hotrestart"
)

// TestMain lets the test's own binary be the program: a process that is killed has to be a real one.
func TestMain(m *testing.M) {
	if os.Getenv("PUMICELINE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// scene is a world of stand-ins with a lent socket, on which processes of one proxy come and go.
type scene struct {
	t         testing.TB
	lent      *os.File
	base      string // the lent socket's
	discovery string
	file      string // the configuration
	shared    string
	memoryMB  int
	world     *fakestandalone.World
	tune      func(settings map[string]any) // nil: they stay
}

// process is one of a proxy.
type process struct {
	*exec.Cmd
	operator string
	log      *bytes.Buffer // whole once it has ended
}

func newScene(t testing.TB, memoryMB int) *scene {
	open := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	discovery, lent := open(), open()
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	s := &scene{t: t, base: lent.Addr().String(), discovery: discovery.Addr().String(), shared: t.TempDir(), memoryMB: memoryMB,
		file: filepath.Join(t.TempDir(), "config.json"),
		world: fakestandalone.NewWorld(discovery, []net.Listener{open(), open(), open()}, []string{"ub-east"},
			func() { time.Sleep(2 * time.Millisecond) })}
	go s.world.Serve(ctx)
	var err error
	if s.lent, err = lent.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	lent.Close()
	t.Cleanup(func() { s.lent.Close() })
	s.write()
	return s
}

// write writes the configuration, with further classes like the first.
func (s *scene) write(further ...string) {
	text, err := fakestandalone.Config(s.base, s.discovery, []string{"ub-east"})
	if err != nil {
		s.t.Fatal(err)
	}
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		s.t.Fatal(err)
	}
	all["limits"] = map[string]any{"memory_mb": s.memoryMB, "sockets": 512}
	set := all["settings"].(map[string]any)
	if s.tune != nil {
		s.tune(set)
	}
	classes := set["Classes"].([]any)
	for _, name := range further {
		class := map[string]any{}
		for k, v := range classes[0].(map[string]any) {
			class[k] = v
		}
		class["Name"] = name
		classes = append(classes, class)
	}
	set["Classes"] = classes
	if text, err = json.Marshal(all); err == nil {
		if err = os.WriteFile(s.file+".new", text, 0o600); err == nil {
			err = os.Rename(s.file+".new", s.file)
		}
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// begin starts a process that asks discovery at the given address.
func (s *scene) begin(discovery string) *process {
	free, err := net.Listen("tcp", "127.0.0.5:0") // an address of its own: a connection of another test can't take the port
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0], "serve"), operator: "http://" + free.Addr().String() + "/v1/", log: &bytes.Buffer{}}
	p.Env = append(os.Environ(), "PUMICELINE_TEST_MAIN=1", "ROUTER_FD=3", "ROUTER_CONFIG="+s.file, "ROUTER_LISTEN="+s.base,
		"ROUTER_DISCOVERY="+discovery, "ROUTER_OPERATOR="+free.Addr().String(), "TMPDIR="+s.shared)
	p.ExtraFiles, p.Stderr = []*os.File{s.lent}, p.log
	free.Close()
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.Process.Kill() })
	return p
}

// single asks on a connection of its own each time.
var single = &http.Transport{DisableKeepAlives: true}

func ask(by http.RoundTripper, url string, header http.Header) (status int, body string, err error) {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return 0, "", err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := by.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// status waits until a process's operators' door says of itself what is wanted.
func (s *scene) status(p *process, path string, want func(status int, body string) bool) {
	for by := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		status, body, err := ask(single, p.operator+path, nil)
		if err == nil && want(status, body) {
			return
		}
		if time.Now().After(by) {
			p.Process.Kill()
			p.Wait()
			s.t.Fatalf("%s never came: %d %q %v; its log:\n%s", path, status, body, err, p.log)
		}
	}
}

func (s *scene) ready(p *process) {
	s.status(p, "readyz", func(status int, _ string) bool { return status == 200 })
}

// quote asks the proxy for one quote.
func (s *scene) quote(by http.RoundTripper, class string, n int64) (int, error) {
	status, _, err := ask(by, "http://"+s.base+"/"+class, http.Header{"X-Correlation-Id": {fmt.Sprint("q", n)}, "X-Service-Class": {class},
		"X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}, "X-Session-Key": {fmt.Sprint(n % 300)}})
	return status, err
}

// load keeps clients asking for quick quotes, each as soon as it has its answer, until end is called. It is told of each answer, and
// when its request began, by several goroutines.
func (s *scene) load(clients int, by http.RoundTripper, told func(status int, err error, began time.Time)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var number atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				status, err := s.quote(by, "quick-quote", number.Add(1))
				told(status, err, began)
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// warm makes settings those of a deployment with warm keys and reports by probe.
func warm(set map[string]any, probes bool) {
	set["FamilyInfo"] = map[string]any{"WarmKeys": true}
	set["LoadInfo"].(map[string]any)["How"] = "pull"
	set["Limits"].(map[string]any)["MayProbe"] = probes
}

// Where servers are warm for keys, all requests of a key go to one destination, and each has keys. Destinations are asked for their load
// about once a second where that is allowed, and no more from the SIGHUP on that forbids it.
func TestKeysAndProbes(t *testing.T) {
	s := newScene(t, 64)
	allowed := true
	s.tune = func(set map[string]any) { warm(set, allowed) }
	s.write()
	p := s.begin(s.discovery)
	s.ready(p)
	homes, met := map[string]string{}, map[string]int{}
	begun := time.Now()
	for n := 0; time.Since(begun) < 2500*time.Millisecond; n++ {
		key := fmt.Sprint("key ", n*n%31)
		status, body, err := ask(http.DefaultTransport, "http://"+s.base+"/quick-quote", http.Header{"X-Correlation-Id": {fmt.Sprint("k", n)},
			"X-Service-Class": {"quick-quote"}, "X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}, "X-Session-Key": {key}})
		toy, _, _ := strings.Cut(body, " ")
		if at := homes[key]; status != 200 || err != nil || at != "" && at != toy {
			t.Fatalf("request %d of %s, at home at %q: %d %q %v", n, key, at, status, body, err)
		}
		homes[key] = toy
	}
	for _, toy := range homes {
		met[toy]++
	}
	if len(met) != len(s.world.Destinations) {
		t.Errorf("keys are at %v", met)
	}
	probes := func() (n int64) {
		for _, d := range s.world.Destinations {
			n += d.Probed()
		}
		return n
	}
	if n := probes(); n < 3 || n > 12 {
		t.Errorf("%d probes in %v", n, time.Since(begun))
	}
	allowed = false
	s.write()
	p.Process.Signal(syscall.SIGHUP)
	s.status(p, "metrics", func(_ int, body string) bool { return strings.Contains(body, "svc_conf_loaded_total 1\n") })
	n := probes()
	if time.Sleep(1500 * time.Millisecond); probes() > n+1 { // one may have been on its way
		t.Errorf("%d probes after they were forbidden", probes()-n)
	}
}

// A proxy that is cut off from discovery serves on, and ends a drain's work within 500 ms of what was held reaching it. One that is
// frozen for a second and a half serves on when it is thawed, and fails at most what was with it.
func TestProxyIsCutOffAndFrozen(t *testing.T) {
	s := newScene(t, 64)
	faults := faulttest.New()
	defer faults.Close()
	roster, err := faults.Relay("roster", s.discovery)
	if err != nil {
		t.Fatal(err)
	}
	p := s.begin(roster.Addr())
	s.ready(p)
	var served, failed atomic.Int64
	end := s.load(4, keeping(t), func(status int, err error, _ time.Time) {
		if err == nil && status == 200 {
			served.Add(1)
		} else {
			failed.Add(1)
		}
	})
	roster.Set(faulttest.Down, faulttest.Fault{Hold: true})
	drained, before := s.world.Destinations[0], served.Load()
	entry := s.world.Entries[0]
	entry.Health = "DRAINING"
	s.world.Roster.Put(entry)
	time.Sleep(time.Second)
	if at := drained.Served(); served.Load() == before || failed.Load() > 0 || at == 0 {
		t.Errorf("cut off: %d served, %d failed, %d by the destination that drains", served.Load()-before, failed.Load(), at)
	}
	roster.Heal()
	time.Sleep(500 * time.Millisecond)
	at := drained.Served()
	if time.Sleep(500 * time.Millisecond); drained.Served() != at {
		t.Errorf("half a second after it was told, %d requests came to a destination that drains", drained.Served()-at)
	}
	p.Process.Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	p.Process.Signal(syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond)
	before = served.Load()
	time.Sleep(300 * time.Millisecond)
	end()
	if served.Load() == before || failed.Load() > 4 { // one of each client at most was with it
		t.Errorf("frozen and thawed: %d served since, %d failed\n%s", served.Load()-before, failed.Load(), faults)
	}
}

// A script is played with real processes, and its verdict says what clients got: after the last fault's end nothing fails.
func TestStageRun(t *testing.T) {
	t.Setenv("PUMICELINE_TEST_MAIN", "1")
	script, out := filepath.Join(t.TempDir(), "s.toml"), filepath.Join(t.TempDir(), "v.json")
	text := "length = \"5s\"\n[[fault]]\nat = \"500ms\"\nfor = \"1s\"\ndo = \"cut down\"\nwho = \"roster\"\n[[fault]]\nat = \"1s\"\nfor = \"1s\"\ndo = \"kill\"\nwho = \"proxy\"\nn = 1\n"
	if err := os.WriteFile(script, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&stageRunCmd{File: script, Seed: 1, Out: out}).Run(output{io.Discard}); err != nil {
		t.Fatal(err)
	}
	var v verdict
	if text, err := os.ReadFile(out); err != nil || json.Unmarshal(text, &v) != nil {
		t.Fatal(err)
	}
	if v.After.Asked < 30 || v.After.Failed > 0 || v.Proxies[0].Failed > 0 || v.Proxies[1].Failed == 0 || len(v.Faults) > 0 {
		t.Errorf("%+v", v)
	}
}

// A successor that is killed, before its yes or after it, costs nothing but what it had taken itself: the old process serves on with
// the whole budgets, and the next successor takes over without a request lost. A SIGHUP while two are there reaches both.
func TestSuccessorIsKilled(t *testing.T) {
	hole, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing, so that a successor waits for its list
	if err != nil {
		t.Fatal(err)
	}
	defer hole.Close()
	for name, yes := range map[string]bool{"before its yes": false, "after its yes": true} {
		s := newScene(t, 64)
		old := s.begin(s.discovery)
		s.ready(old)
		var killing, dead, served, lost atomic.Int64 // killing, dead: Unix nanoseconds
		end := s.load(4, single, func(status int, err error, began time.Time) {
			switch gone := dead.Load(); {
			case err == nil && status == 200:
				served.Add(1)
			case err != nil && yes && killing.Load() > 0 && (gone == 0 || began.UnixNano() < gone):
				lost.Add(1) // it was with the process that died
			default:
				t.Errorf("%s: a request got %d, %v", name, status, err)
			}
		})
		first := s.begin(s.discovery)
		if !yes {
			first.Process.Kill()
			first.Wait()
			first = s.begin(hole.Addr().String())
			s.status(first, "readyz", func(status int, _ string) bool { return status == 503 })
		} else {
			s.ready(first)
			s.write("season")
			for _, p := range []*process{old, first} {
				if err := p.Process.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
				s.status(p, "metrics", func(_ int, body string) bool { return strings.Contains(body, "svc_conf_loaded_total 1\n") })
			}
			for n := range int64(40) { // both take connections from the one socket
				if status, err := s.quote(single, "season", 1e6+n); status != 200 || err != nil {
					t.Errorf("a class that came with SIGHUP during an upgrade: %d, %v", status, err)
				}
			}
		}
		killing.Store(time.Now().UnixNano())
		first.Process.Kill()
		first.Wait()
		dead.Store(time.Now().UnixNano())
		time.Sleep(4 * hotrestart.PollInterval) // the old process sees that it is alone
		next := s.begin(s.discovery)
		s.ready(next)
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := old.Wait(); err != nil {
			t.Errorf("%s: the old process: %v", name, err)
		}
		end()
		if lost.Load() > 4 {
			t.Errorf("%s: %d requests lost with the killed process, more than there were clients", name, lost.Load())
		}
		// Budgets are shared with who takes requests, and whole again once that is dead.
		want := []string{"1", "2"}
		if yes {
			want = []string{"1", "2", "1", "2"}
		}
		var shared []string
		for _, found := range regexp.MustCompile(`processes=(\d)`).FindAllStringSubmatch(old.log.String(), -1) {
			shared = append(shared, found[1])
		}
		if !slices.Equal(shared, want) {
			t.Errorf("%s: the old process shared its budgets among %v, want %v:\n%s", name, shared, want, old.log)
		}
		next.Process.Signal(syscall.SIGTERM)
		if err := next.Wait(); err != nil {
			t.Errorf("%s: the next process: %v", name, err)
		}
		t.Logf("%s: %d served, %d lost with the killed process", name, served.Load(), lost.Load())
	}
}
