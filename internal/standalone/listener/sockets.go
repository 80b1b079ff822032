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

// sockets keeps count of the front sockets and which of them are idle.
type sockets struct {
	usual int        // what front sockets may take in any case
	most  func() int // what they may take now

	mu   sync.Mutex
	open map[net.Conn]*connState
	idle int
	mute int // that have brought nothing yet
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newSockets(usual int, most func() int) *sockets {
	if most == nil {
		most = func() int { return usual }
	}
	return &sockets{usual: usual, most: most, open: map[net.Conn]*connState{}}
}

func (s *sockets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// listener hands out front sockets that watch their framing. Where the budget is used up it makes room before the
// server sees the new one; where there is none to make, the new one is closed, before the process runs out of
// descriptors: net/http would then stop accepting for up to a second, with usual clients in the queue.
type listener struct {
	net.Listener
	sockets   *sockets
	once      sync.Once
	finishing atomic.Bool
}

// Close ends Accept. The server closes its listener too.
func (l *listener) Close() (err error) {
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// finish ends Accept as well, but not before all connections that have come are taken: the kernel resets those that still wait to be,
// with the requests on them.
func (l *listener) finish() {
	l.finishing.Store(true)
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(time.Now().Add(acceptRound)) != nil {
		l.Close()
	}
}

// again says whether Accept, at the end of its time, has something left to take, and gives it more time then.
func (l *listener) again() bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && socket.Waits(l.Listener) && d.SetDeadline(time.Now().Add(acceptRound)) == nil
}

// acceptRound is how long Accept goes on before it is looked whether more waits.
const acceptRound = 10 * time.Millisecond

// Accept returns the next front socket.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case l.finishing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if !l.again() {
				l.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			if !l.sockets.makeRoom() {
				time.Sleep(shortage)
			}
		case err != nil:
			return nil, err
		case l.sockets.count() < l.sockets.most() || l.sockets.makeRoom():
			return &clientConn{Conn: nc}, nil
		default: // nothing of it has been read, so its client may send again what it has sent
			nc.Close()
		}
	}
}

// shortage is how long Accept waits for a descriptor when no front socket can be spared.
const shortage = 5 * time.Millisecond

// changed is told of each change of a connection's state.
func (s *sockets) changed(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*clientConn); ok && state == http.StateIdle {
		cc.stage.Store(idleStage)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(c)
	if state == http.StateClosed || state == http.StateHijacked {
		return
	}
	switch state {
	case http.StateIdle:
		s.idle++
	case http.StateNew:
		s.mute++
	}
	s.open[c] = &connState{state: state, since: time.Now()}
}

func (s *sockets) drop(c net.Conn) {
	if k := s.open[c]; k != nil && k.state == http.StateIdle {
		s.idle--
	} else if k != nil && k.state == http.StateNew {
		s.mute--
	}
	delete(s.open, c)
}

// manyIdle says whether so many sockets are kept that answers had better close theirs. Clients that ask once and keep
// their connection use up what the front layer may hold of them, a third of the descriptors, and then nobody else can connect.
// Short of that nothing is closed: a client that comes back would cost a new connection, which is dearest when CPU is short.
func (s *sockets) manyIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle > idleLeast && float64(len(s.open)-s.mute) > keptPart*float64(s.usual)
}

// keptPart of the front's budget may be sockets that have had a request: three fourths of a third of all descriptors.
const (
	keptPart  = 0.45
	idleLeast = 4
)

// makeRoom closes a socket without a request, and says whether there was one: one that only waits for its client to hear of its
// end, else the one that has said nothing for longest, else the one that has been idle for longest. Silent ones come by the
// hundred, and must not push out those of usual clients. One that has begun a request stays: cut off, a request that is whole by
// then would be lost. Close returns once the descriptor is free.
func (s *sockets) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent, idle []*clientConn // by how long, the longest first
	for nc, k := range s.open {
		c := nc.(*clientConn)
		switch {
		case c.lingering.Load():
			s.cut(c)
			return true
		case k.state == http.StateIdle:
			idle = append(idle, c)
		case k.state == http.StateNew && time.Since(k.since) >= silentFor:
			silent = append(silent, c)
		}
	}
	for _, conns := range [][]*clientConn{silent, idle} {
		slices.SortFunc(conns, func(a, b *clientConn) int { return s.open[a].since.Compare(s.open[b].since) })
		for _, c := range conns {
			if c.part(false) {
				s.cut(c)
				return true
			}
		}
	}
	return false
}

// cut closes a socket at once.
func (s *sockets) cut(c *clientConn) {
	c.Conn.Close()
	s.drop(c)
}

// silentFor is how long a new connection may take for its first byte before it can have to make way.
const silentFor = 20 * time.Millisecond

// newFor is how long a new connection may take to bring its first request before it counts as unused by a stop.
const newFor = acceptOn / 2

// drain waits for the front sockets to be closed, each by its last answer, and closes those that have no request. One on which
// something has come has one: cut off, its client would have to ask again. From last on nobody waits for the rest of it.
func (s *sockets) drain(last time.Time) {
	again := time.NewTicker(drainEvery)
	defer again.Stop()
	for ; s.count() > 0; <-again.C {
		now, latest := time.Now(), last.Add(lingerAfterLast)
		over, by := !now.Before(last), now.Add(lingerFor)
		if by.After(latest) {
			by = latest
		}
		s.mu.Lock()
		for nc, k := range s.open {
			switch c := nc.(*clientConn); {
			case c.lingering.Load() && !now.Before(latest):
				c.Conn.Close()
			case k.state == http.StateIdle || k.state == http.StateNew && (over || now.Sub(k.since) >= newFor):
				c.retire(by, over)
			}
		}
		s.mu.Unlock()
	}
}

// lingerAfterLast leaves the last connections some of the time before SIGKILL to end in order.
const lingerAfterLast = beforeKill / 2

// drainEvery is how often a stopping front looks at its sockets.
const drainEvery = 20 * time.Millisecond
