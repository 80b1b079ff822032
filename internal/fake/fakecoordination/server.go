// Package fakecoordination is a coordinator for tests of what applications use: the real HTTP API and state of locks, numbers
// and keys, in one process, without replicas or disk.
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

// Server listens on several control addresses, with one state behind them.
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

// Close stops listening, cuts connections, and ends the watches that wait.
func (s *Server) Close() {
	s.issuer.close()
	for _, server := range s.servers {
		_ = server.Close() // what is open is cut
	}
}

// issuer decides calls alone. It is a coordinationapi.Caller.
type issuer struct {
	start time.Time

	mutex   sync.Mutex
	state   *coordination.Store
	changed chan struct{} // closed by the next put, and when the server closes
	closed  bool
}

func newIssuer() *issuer {
	return &issuer{
		start:   time.Now(),
		state:   coordination.New(coordination.Options{HistoryRetention: historyRetention}),
		changed: make(chan struct{}),
	}
}

// Call decides a call; a watch without an event waits for the next put.
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

// execute decides a call now. Where it has to wait, that is for the channel, which is nil when the server closes.
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
