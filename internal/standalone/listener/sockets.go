package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumiceline/internal/socket"
)

// socketBudget keeps count of the front sockets and which of them are idle.
type socketBudget struct {
	guaranteed int        // what front sockets may take in any case
	limit      func() int // what they may take now

	mu     sync.Mutex
	open   map[net.Conn]*trackedConn
	idle   int
	unused int // that have brought nothing yet
}

type trackedConn struct {
	state http.ConnState
	since time.Time
}

func newSocketBudget(usual int, most func() int) *socketBudget {
	if most == nil {
		most = func() int { return usual }
	}
	return &socketBudget{guaranteed: usual, limit: most, open: map[net.Conn]*trackedConn{}}
}

func (s *socketBudget) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// budgetListener hands out front sockets that watch their framing. Where the budget is used up it makes room before the
// server sees the new one; where there is none to make, the new one is closed, before the process runs out of
// descriptors: net/http would then stop accepting for up to a second, with usual clients in the queue.
type budgetListener struct {
	net.Listener
	budget    *socketBudget
	closeOnce sync.Once
	draining  atomic.Bool
}

// Close ends Accept. The server closes its listener too.
func (l *budgetListener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// closeWhenDrained ends Accept as well, but not before all connections that have come are taken: the kernel resets those that still wait to be,
// with the requests on them.
func (l *budgetListener) closeWhenDrained() {
	l.draining.Store(true)
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(time.Now().Add(drainAcceptInterval)) != nil {
		l.Close()
	}
}

// extendDrain says whether Accept, at the end of its time, has something left to take, and gives it more time then.
func (l *budgetListener) extendDrain() bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && socket.HasPendingConnection(l.Listener) && d.SetDeadline(time.Now().Add(drainAcceptInterval)) == nil
}

// drainAcceptInterval is how long Accept goes on before it is looked whether more waits.
const drainAcceptInterval = 10 * time.Millisecond

// Accept returns the next front socket.
func (l *budgetListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if !l.extendDrain() {
				l.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			if !l.budget.evict() {
				time.Sleep(descriptorRetryDelay)
			}
		case err != nil:
			return nil, err
		case l.budget.count() < l.budget.limit() || l.budget.evict():
			return &clientConn{Conn: nc}, nil
		default: // nothing of it has been read, so its client may send again what it has sent
			nc.Close()
		}
	}
}

// descriptorRetryDelay is how long Accept waits for a descriptor when no front socket can be spared.
const descriptorRetryDelay = 5 * time.Millisecond

// onConnState is told of each change of a connection's state.
func (s *socketBudget) onConnState(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*clientConn); ok && state == http.StateIdle {
		cc.phase.Store(phaseIdle)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
	if state == http.StateClosed || state == http.StateHijacked {
		return
	}
	switch state {
	case http.StateIdle:
		s.idle++
	case http.StateNew:
		s.unused++
	}
	s.open[c] = &trackedConn{state: state, since: time.Now()}
}

func (s *socketBudget) forget(c net.Conn) {
	if k := s.open[c]; k != nil && k.state == http.StateIdle {
		s.idle--
	} else if k != nil && k.state == http.StateNew {
		s.unused--
	}
	delete(s.open, c)
}

// shouldShedKeepAlive says whether so many sockets are kept that answers had better close theirs. Clients that ask once and keep
// their connection use up what the front layer may hold of them, a third of the descriptors, and then nobody else can connect.
// Short of that nothing is closed: a client that comes back would cost a new connection, which is dearest when CPU is short.
func (s *socketBudget) shouldShedKeepAlive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle > minIdleSockets && float64(len(s.open)-s.unused) > usedSocketsFraction*float64(s.guaranteed)
}

// usedSocketsFraction of the front's budget may be sockets that have had a request: three fourths of a third of all descriptors.
const (
	usedSocketsFraction = 0.45
	minIdleSockets      = 4
)

// evict closes a socket without a request, and says whether there was one: one that only waits for its client to hear of its
// end, else the one that has said nothing for longest, else the one that has been idle for longest. Silent ones come by the
// hundred, and must not push out those of usual clients. One that has begun a request stays: cut off, a request that is whole by
// then would be lost. Close returns once the descriptor is free.
func (s *socketBudget) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent, idle []*clientConn // by how long, the longest first
	for nc, k := range s.open {
		c := nc.(*clientConn)
		switch {
		case c.lingering.Load():
			s.closeNow(c)
			return true
		case k.state == http.StateIdle:
			idle = append(idle, c)
		case k.state == http.StateNew && time.Since(k.since) >= unusedEvictionAge:
			silent = append(silent, c)
		}
	}
	for _, conns := range [][]*clientConn{silent, idle} {
		slices.SortFunc(conns, func(a, b *clientConn) int { return s.open[a].since.Compare(s.open[b].since) })
		for _, c := range conns {
			if c.endIfIdle(false) {
				s.closeNow(c)
				return true
			}
		}
	}
	return false
}

// closeNow closes a socket at once.
func (s *socketBudget) closeNow(c *clientConn) {
	c.Conn.Close()
	s.forget(c)
}

// unusedEvictionAge is how long a new connection may take for its first byte before it can have to make way.
const unusedEvictionAge = 20 * time.Millisecond

// unusedShutdownAge is how long a new connection may take to bring its first request before it counts as unused by a stop.
const unusedShutdownAge = acceptGrace / 2

// drain waits for the front sockets to be closed, each by its last answer, and closes those that have no request. One on which
// something has come has one: cut off, its client would have to ask again. From last on nobody waits for the rest of it.
func (s *socketBudget) drain(last time.Time) {
	again := time.NewTicker(drainInterval)
	defer again.Stop()
	for ; s.count() > 0; <-again.C {
		now, latest := time.Now(), last.Add(lingerAfterLastResponse)
		over, by := !now.Before(last), now.Add(lingerTimeout)
		if by.After(latest) {
			by = latest
		}
		s.mu.Lock()
		for nc, k := range s.open {
			switch c := nc.(*clientConn); {
			case c.lingering.Load() && !now.Before(latest):
				c.Conn.Close()
			case k.state == http.StateIdle || k.state == http.StateNew && (over || now.Sub(k.since) >= unusedShutdownAge):
				c.closeGracefully(by, over)
			}
		}
		s.mu.Unlock()
	}
}

// lingerAfterLastResponse leaves the last connections some of the time before SIGKILL to end in order.
const lingerAfterLastResponse = killMargin / 2

// drainInterval is how often a stopping front looks at its sockets.
const drainInterval = 20 * time.Millisecond
