package coordinationclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

// store is an issuer without replicas: the state machine behind the real HTTP API.
type store struct {
	mutex sync.Mutex
	start time.Time
	state *coordination.Store
}

func newStore() *store {
	return &store{start: time.Now(), state: coordination.New(coordination.Options{HistoryRetention: time.Minute})}
}

// Call carries out a call; a watch looks for events every few milliseconds.
func (s *store) Call(ctx context.Context, call message.Call) (message.Answer, error) {
	deadline := time.Now().Add(time.Duration(call.WaitMs) * time.Millisecond)
	for {
		if time.Now().After(deadline) {
			call.WaitMs = 0
		}
		result := s.execute(call)
		if !result.Waits {
			return result.Answer, nil
		}
		select {
		case <-ctx.Done():
			return message.Answer{}, coordinationapi.ErrOutcomeUnknown
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (s *store) execute(call message.Call) coordination.Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Maintain(time.Since(s.start))
	return s.state.Execute(time.Since(s.start), call)
}

// newSystem serves a store on real addresses, and returns a client of them.
func newSystem(t *testing.T, addresses int) *Client {
	t.Helper()
	caller := newStore()
	options := Options{Patience: 2 * time.Second}
	for range addresses {
		server := httptest.NewServer(coordinationapi.NewHandler(caller))
		t.Cleanup(server.Close)
		options.Addresses = append(options.Addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	client, err := New(options)
	require.NoError(t, err)
	return client
}

// attempt is a request that reached the fake network.
type attempt struct {
	at      time.Duration // since the network was made
	address string
	method  string
	body    string
}

// network is an http.RoundTripper without sockets, for synctest bubbles. Each address has a script.
type network struct {
	start    time.Time
	scripts  map[string]script
	mutex    sync.Mutex
	attempts []attempt
}

// script responds to the n-th request (from 0) to an address.
type script func(n int, r *http.Request) (*http.Response, error)

var errReset = errors.New("connection reset")

func newNetwork(scripts map[string]script) (*network, *Client) {
	n := &network{start: time.Now(), scripts: scripts}
	c, err := New(Options{Addresses: []string{"a", "b"}, HTTPClient: &http.Client{Transport: n}})
	if err != nil {
		panic(err)
	}
	return n, c
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	n.mutex.Lock()
	count := 0
	for _, earlier := range n.attempts {
		if earlier.address == r.URL.Host {
			count++
		}
	}
	n.attempts = append(n.attempts, attempt{time.Since(n.start), r.URL.Host, r.Method, string(body)})
	n.mutex.Unlock()
	if play := n.scripts[r.URL.Host]; play != nil {
		return play(count, r)
	}
	return refuse(count, r)
}

func (n *network) seen() []attempt {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]attempt(nil), n.attempts...)
}

// reply answers each request with a status and body, after a delay.
func reply(status int, body string, delay time.Duration) script {
	return func(_ int, r *http.Request) (*http.Response, error) {
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-time.After(delay):
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader([]byte(body))), Header: http.Header{}, Request: r}, nil
		}
	}
}

// inTurn plays one script a request, the last one for all that follow.
func inTurn(scripts ...script) script {
	return func(n int, r *http.Request) (*http.Response, error) { return scripts[min(n, len(scripts)-1)](n, r) }
}

func staySilent(_ int, r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func refuse(int, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

func reset(int, *http.Request) (*http.Response, error) { return nil, errReset }
