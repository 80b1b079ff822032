package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
)

const exampleConfig = "../../../example/config.json"

// listen opens a listener on a free port of host.
func listen(t *testing.T, host string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// waitUntil polls until other goroutines have made a condition true. If they never do, the time limit of go test ends
// the test.
func waitUntil(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("condition never held:", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A proxy with the example's configuration serves the example's backends, end to end. It becomes ready once it has an
// endpoint list, and completes a request that is in flight when it is stopped.
func TestRun_CompletesRequestInFlightAtStop(t *testing.T) {
	const fakesHost = "127.0.0.1"
	discovery, free := listen(t, fakesHost), listen(t, "127.0.0.2") // a separate IP: no connection takes the port
	cfg, err := config.Load(exampleConfig, func(name string) string {
		return map[string]string{"ROUTER_LISTEN": free.Addr().String(), "ROUTER_DISCOVERY": discovery.Addr().String()}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg.AdminListen = "" // a fixed port, which another run may hold
	free.Close()
	received, proceed := make(chan struct{}, 9), make(chan struct{})
	fakes, endFakes := context.WithCancel(context.Background())
	defer endFakes()
	backends := []net.Listener{listen(t, fakesHost), listen(t, fakesHost)}
	go fakestandalone.NewEnvironment(discovery, backends, []string{"ub-east"}, func() {
		received <- struct{}{}
		<-proceed
	}).Serve(fakes)

	stop, requestStop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(stop, cfg, Options{AdmissionFile: "../../../deploy/door.toml"}, slog.New(slog.DiscardHandler))
	}()
	base := "http://" + cfg.Listen
	waitUntil(t, "ready", func() bool {
		resp, err := http.Get(base + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})

	answered := make(chan string, 1)
	go func() {
		req, err := http.NewRequest(http.MethodPost, base+"/issue-policy?a=%zz", strings.NewReader("body"))
		if err != nil {
			answered <- err.Error()
			return
		}
		req.Header = http.Header{"X-Correlation-Id": {"1"}, "X-Service-Class": {"issue-policy"},
			"X-Account": {"khan-air"}, "X-Time-Left-Ms": {"3000"}, "Idempotency-Key": {"k"}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answered <- resp.Status + " " + string(body)
	}()
	<-received
	requestStop()
	close(proceed)
	if got := <-answered; !strings.HasPrefix(got, "200 OK toy-") || !strings.Contains(got, "POST /issue-policy?a=%zz with 4 bytes") {
		t.Errorf("response: %s", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A reload moves the watch to the address of discovery in the file. An invalid file changes nothing.
func TestRun_ReloadMovesDiscoveryWatch(t *testing.T) {
	first, second, free := listen(t, "127.0.0.1"), listen(t, "127.0.0.1"), listen(t, "127.0.0.3")
	watched := make(chan string, 9)
	for name, ln := range map[string]net.Listener{"first": first, "second": second} {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			watched <- name + " " + r.URL.Query().Get("index")
			fmt.Fprintln(w, `{"seq":41,"whole":true,"hosts":[]}`)
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})}
		go server.Serve(ln)
		defer server.Close()
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text, err := os.ReadFile(exampleConfig)
		if err != nil {
			t.Fatal(err)
		}
		text = regexp.MustCompile(`"discovery": *"[^"]*"`).ReplaceAll(text, []byte(`"discovery":"`+discovery+`"`))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := func(name string) string {
		return map[string]string{"ROUTER_LISTEN": free.Addr().String(), "ROUTER_DISCOVERY": first.Addr().String()}[name]
	}
	write("127.0.0.1:1")
	cfg, err := config.Load(path, env)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AdminListen = "" // a fixed port, which another run may hold
	free.Close()
	stop, requestStop := context.WithCancel(context.Background())
	ended, reloads := make(chan error, 1), make(chan os.Signal)
	readConfig := func(current *config.Config) (*config.Config, error) { return config.Reload(path, env, current) }
	go func() {
		ended <- Run(stop, cfg, Options{ReloadSignals: reloads, ReadConfig: readConfig}, slog.New(slog.DiscardHandler))
	}()
	if got := <-watched; got != "first 0" {
		t.Errorf("watched: %s", got)
	}
	write("nowhere")
	reloads <- syscall.SIGHUP
	write(second.Addr().String()) // the first reload may or may not read this; the second one does
	reloads <- syscall.SIGHUP
	if got := <-watched; got != "second 0" {
		t.Errorf("watched: %s", got)
	}
	requestStop()
	if err := <-ended; err != nil {
		t.Errorf("Run: %v", err)
	}
}
