// Package fakecoordination provides a coordinator for tests of its clients. It has the real HTTP API and the real state
// of locks, numbers and keys, but runs in one process, without replicas or disk.
package fakecoordination

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

// historyRetention is how long events are kept for watches.
const historyRetention = time.Minute

// Server serves one state on several control addresses.
type Server struct {
	issuer    *issuer
	addresses []string
	servers   []*http.Server
}

// Start starts a server with a number of addresses on loopback. The caller closes it.
func Start(addresses int) (*Server, error) {
	s := &Server{issuer: newIssuer()}
	for range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, errors.Wrap(err, "start a coordinator")
		}
		server := &http.Server{Handler: coordinationapi.NewHandler(s.issuer)}
		s.addresses, s.servers = append(s.addresses, listener.Addr().String()), append(s.servers, server)
		go func() { _ = server.Serve(listener) }() // ends with Close
	}
	return s, nil
}

// Addresses returns the control addresses (host:port).
func (s *Server) Addresses() []string { return s.addresses }

// Close stops listening, closes all connections and ends the watches that wait.
func (s *Server) Close() {
	s.issuer.close()
	for _, server := range s.servers {
		_ = server.Close() // open connections too
	}
}

// issuer executes calls on its own state, without agreement with replicas. It implements coordinationapi.Caller.
type issuer struct {
	start time.Time

	mutex   sync.Mutex
	state   *coordination.Store
	changed chan struct{} // closed by the next call that changes the state, and when the server closes
	closed  bool
}

func newIssuer() *issuer {
	return &issuer{
		start:   time.Now(),
		state:   coordination.New(coordination.Options{HistoryRetention: historyRetention}),
		changed: make(chan struct{}),
	}
}

// Call executes a call. A watch without an event waits for one, for at most the WaitMs of the call.
func (i *issuer) Call(ctx context.Context, call message.Call) (message.Answer, error) {
	timer := time.NewTimer(time.Duration(call.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		result, changed := i.execute(call)
		if !result.Waits {
			return result.Answer, nil
		}
		if changed == nil {
			return message.Answer{}, coordinationapi.ErrNotExecuted
		}
		select {
		case <-changed:
		case <-timer.C:
			call.WaitMs = 0
		case <-ctx.Done():
			return message.Answer{}, coordinationapi.ErrOutcomeUnknown
		}
	}
}

// execute runs a call on the current state. If the result says that the call waits, the caller runs it again once the
// returned channel is closed. The channel is nil if the server is closed.
func (i *issuer) execute(call message.Call) (coordination.Result, <-chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Since(i.start)
	i.state.Maintain(now)
	result := i.state.Execute(now, call)
	if i.closed {
		return result, nil
	}
	if len(result.Changes) > 0 {
		close(i.changed)
		i.changed = make(chan struct{})
	}
	return result, i.changed
}

func (i *issuer) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.closed = true
	close(i.changed)
}
