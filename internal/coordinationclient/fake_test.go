package coordinationclient

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/fake/fakecoordination"
)

// newSystem starts a fake coordination service that listens on real addresses, and returns a client of it.
func newSystem(t *testing.T, addresses int) *Client {
	t.Helper()
	system, err := fakecoordination.Start(addresses)
	require.NoError(t, err)
	t.Cleanup(system.Close)
	client, err := New(Options{Addresses: system.Addresses(), RetryTimeout: 2 * time.Second})
	require.NoError(t, err)
	return client
}

// attempt is a request that reached the fake network.
type attempt struct {
	at      time.Duration // since the network was created
	address string
	method  string
	body    string
}

// network is an http.RoundTripper without sockets, for use in synctest bubbles. Each address has a script; an address
// without one refuses connections.
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
	if respond := n.scripts[r.URL.Host]; respond != nil {
		return respond(count, r)
	}
	return refuse(count, r)
}

func (n *network) recordedAttempts() []attempt {
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

// inTurn uses one script per request, and the last one for all further requests.
func inTurn(scripts ...script) script {
	return func(n int, r *http.Request) (*http.Response, error) { return scripts[min(n, len(scripts)-1)](n, r) }
}

func neverRespond(_ int, r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func refuse(int, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

func reset(int, *http.Request) (*http.Response, error) { return nil, errReset }
