package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// sockets keeps count of the front sockets and which of them are idle.
type sockets struct {
	most int

	mu   sync.Mutex
	open map[net.Conn]*socket
}

type socket struct {
	state http.ConnState
	since time.Time
}

func newSockets(most int) *sockets {
	return &sockets{most: most, open: map[net.Conn]*socket{}}
}

func (s *sockets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// changed is told of each change of a connection's state. When a new one takes the count over the budget, the
// one that has been idle for longest is closed, which a proxy may do between requests. The new one itself is
// served: what the kernel has accepted counts as taken, so it cannot just be left.
func (s *sockets) changed(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
		return
	}
	s.open[c] = &socket{state: state, since: time.Now()}
	if state != http.StateNew || len(s.open) <= s.most {
		return
	}
	var oldest net.Conn
	for c, k := range s.open {
		if k.unused() && (oldest == nil || k.since.Before(s.open[oldest].since)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.Close()
		delete(s.open, oldest)
	}
}

// newFor is how long a new connection may take to bring its first request before it counts as unused.
const newFor = acceptOn / 2

// unused says whether a socket is between requests.
func (k *socket) unused() bool {
	return k.state == http.StateIdle || k.state == http.StateNew && time.Since(k.since) >= newFor
}

// over says whether there are more sockets than the budget has. Then answers close theirs.
func (s *sockets) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) > s.most
}

// closeUnused keeps closing sockets that have no request, until ctx ends.
func (s *sockets) closeUnused(ctx context.Context) {
	again := time.NewTicker(newFor)
	defer again.Stop()
	for {
		s.mu.Lock()
		for c, k := range s.open {
			if k.unused() {
				c.Close()
			}
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-again.C:
		}
	}
}
