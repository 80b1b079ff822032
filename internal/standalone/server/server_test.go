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

func listen(t *testing.T, host string) net.Listener {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// until polls a condition that other goroutines bring about; the test's own limit ends a vain wait.
func until(t *testing.T, what string, ok func() bool) {
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("never came:", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The example's configuration serves the example's destinations, end to end: it is ready only with a list, a
// keyed request is answered, and one that is under way when the proxy is told to stop is still answered.
func TestServesTheExampleAndStops(t *testing.T) {
	const others = "127.0.0.1"
	discovery, free := listen(t, others), listen(t, "127.0.0.2") // an address of its own: no other can take the port
	cfg, err := config.Load(exampleConfig, func(name string) string {
		return map[string]string{"ROUTER_LISTEN": free.Addr().String(), "ROUTER_DISCOVERY": discovery.Addr().String()}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg.Operator = "" // a fixed port, which another run may hold
	free.Close()
	working, goOn := make(chan struct{}, 9), make(chan struct{})
	toys, endToys := context.WithCancel(context.Background())
	defer endToys()
	go fakestandalone.NewWorld(discovery, []net.Listener{listen(t, others), listen(t, others)}, []string{"ub-east"}, func() {
		working <- struct{}{}
		<-goOn
	}).Serve(toys)

	stop, tellStop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(stop, cfg, Options{AdmissionFile: "../../../deploy/door.toml"}, slog.New(slog.DiscardHandler))
	}()
	base := "http://" + cfg.Listen
	until(t, "ready", func() bool {
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
	<-working
	tellStop()
	close(goOn)
	if got := <-answered; !strings.HasPrefix(got, "200 OK toy-") || !strings.Contains(got, "POST /issue-policy?a=%zz with 4 bytes") {
		t.Errorf("answer: %s", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// A hangup moves the watch to the discovery of the file as it is then; a file that cannot be read changes nothing.
func TestHangupMovesTheWatch(t *testing.T) {
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
	cfg.Operator = "" // a fixed port, which another run may hold
	free.Close()
	stop, tellStop := context.WithCancel(context.Background())
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
	write(second.Addr().String()) // the first hangup may or may not find this; the second one does
	reloads <- syscall.SIGHUP
	if got := <-watched; got != "second 0" {
		t.Errorf("watched: %s", got)
	}
	tellStop()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
}
