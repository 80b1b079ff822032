// Package backend talks to destinations: it keeps their connections, carries out one exchange at a time on
// each, and tells how the exchange ended.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"pumiceline/internal/httpframing"
	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/policy"
)

// Options are what a Fleet needs to know of the deployment.
type Options struct {
	DialTimeout      time.Duration // a connection not made by then has failed
	IdleTimeout      time.Duration // destinations close connections that stood idle for this long
	MaxConnections   int           // connections to all destinations together
	ReportColumns    []string      // of load reports; empty: answers carry none
	OnRequestWritten func()        // called for each request whose last byte is written; nil: nobody counts
	Dial             Dial          // nil: over TCP
}

// Dial makes a connection to addr, or fails at the latest at by.
type Dial func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

// DialTCP is the Dial of the network.
func DialTCP(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: by}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Pool holds the destinations by id. It is safe for concurrent use and never calls back.
type Pool struct {
	opts          Options
	reportColumns []string
	log           *slog.Logger

	mu            sync.Mutex
	byID          map[uint32]*backendState
	openConns     int
	reapScheduled bool // reap will be called

	lastWarning        time.Time // when a fault in what destinations say was logged last
	suppressedWarnings int       // such faults since
}

type backendState struct {
	id    uint32
	addr  string
	ready bool    // listed and not draining
	idle  []*conn // the one used last is at the end
}

type conn struct {
	nc       net.Conn
	source   *responseSource
	limit    *io.LimitedReader
	reader   *bufio.Reader
	backend  *backendState
	addr     string
	lastUsed time.Time
}

// responseSource watches what comes on a connection: how answers are delimited, and whether the connection has ended, when what
// is wrong with an answer may be that it was cut.
type responseSource struct {
	io.Reader
	scanner httpframing.Scanner
	ended   bool
}

func (s *responseSource) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.scanner.Scan(b[:n])
	s.ended = s.ended || err != nil
	return n, err
}

// NewPool returns a fleet without destinations.
func NewPool(opts Options, log *slog.Logger) *Pool {
	if opts.Dial == nil {
		opts.Dial = DialTCP
	}
	return &Pool{opts: opts, reportColumns: opts.ReportColumns, log: log, byID: map[uint32]*backendState{}}
}

// ApplySettings takes over what new settings say: the time limits, and the columns of load reports. Connections that stand idle are
// judged by the new limits.
func (f *Pool) ApplySettings(dialWithin, idleClose time.Duration, columns []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.DialTimeout, f.opts.IdleTimeout, f.reportColumns = dialWithin, idleClose, columns
}

// SetMaxConnections sets how many connections there may be from now on. Those that are too many stay until they are given back.
func (f *Pool) SetMaxConnections(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.MaxConnections = most
	for f.openConns > most && f.evictOldest() {
	}
}

// currentSettings is what Change said last.
func (f *Pool) currentSettings() (dialWithin time.Duration, columns []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.DialTimeout, f.reportColumns
}

// SetBackend tells where a destination listens and whether new work may go to it. No address means that it is gone.
func (f *Pool) SetBackend(id uint32, addr string, ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.byID[id]
	if d == nil {
		d = &backendState{id: id}
		f.byID[id] = d
	}
	if d.addr != addr && addr != "" {
		d.addr = addr
		f.closeIdleOf(d)
	}
	d.ready = ready
	if !ready {
		f.closeIdleOf(d)
	}
	if addr == "" { // attempts under way keep their pointer, which says that it takes nothing
		delete(f.byID, id)
	}
}

// warnMalformed logs that a destination's words are not understood, once a second at most: a destination with that fault
// has it in every answer.
func (f *Pool) warnMalformed(what string, d *backendState, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastWarning) < time.Second {
		f.suppressedWarnings++
		return
	}
	f.log.Warn(what, "destination", d.addr, "error", err, "unlogged_before", f.suppressedWarnings)
	f.lastWarning, f.suppressedWarnings = time.Now(), 0
}

// TableSizes are the numbers of entries in a Pool's tables, for the admin API.
type TableSizes struct {
	Backends        int
	IdleConnections int
}

// TableSizes returns how many entries the tables hold now.
func (f *Pool) TableSizes() TableSizes {
	f.mu.Lock()
	defer f.mu.Unlock()
	sizes := TableSizes{Backends: len(f.byID)}
	for _, d := range f.byID {
		sizes.IdleConnections += len(d.idle)
	}
	return sizes
}

// OpenConnections is how many connections there are.
func (f *Pool) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openConns
}

// isReady says whether new work may go to d.
func (f *Pool) isReady(d *backendState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d.ready
}

// CloseIdle closes the idle connections to a destination.
func (f *Pool) CloseIdle(id uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.byID[id]; d != nil {
		f.closeIdleOf(d)
	}
}

func (f *Pool) closeIdleOf(d *backendState) {
	for _, c := range d.idle {
		f.closeConn(c)
	}
	clear(d.idle)
	d.idle = d.idle[:0]
}

func (f *Pool) closeConn(c *conn) {
	c.nc.Close()
	f.openConns--
}

// acquire returns an idle connection, or a new one. With an error comes the outcome that it means.
func (f *Pool) acquire(ctx context.Context, id uint32) (*conn, policy.Outcome, error) {
	c, err := f.reuseOrReserve(id)
	if err != nil {
		return nil, policy.NotSent, err
	}
	if c.nc != nil {
		return c, 0, nil
	}
	within, _ := f.currentSettings()
	if c.nc, err = f.opts.Dial(ctx, c.addr, time.Now().Add(within)); err != nil {
		f.mu.Lock()
		f.openConns--
		f.mu.Unlock()
		outcome := policy.ConnectFailed
		if ctx.Err() != nil {
			outcome = outcomeAfter(ctx, policy.NotSent)
		} else if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
			errors.Is(err, syscall.EADDRNOTAVAIL) {
			outcome = policy.NotSent // our own shortage says nothing of the destination
		}
		return nil, outcome, fmt.Errorf("connecting: %w", err)
	}
	c.source = &responseSource{Reader: c.nc}
	c.limit = &io.LimitedReader{R: c.source}
	c.reader = bufio.NewReader(c.limit)
	return c, 0, nil
}

var (
	errNotReady        = errors.New("no such destination, or it drains")
	errConnectionLimit = errors.New("all sockets meant for destinations are in use")
)

// reuseOrReserve returns an idle connection to reuse, or counts one that the caller is to make: it has no nc yet.
func (f *Pool) reuseOrReserve(id uint32) (*conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.byID[id]
	if d == nil || !d.ready {
		return nil, errNotReady
	}
	now := time.Now()
	for {
		i := lastReusable(d.idle, now)
		if i < 0 {
			break
		}
		c := d.idle[i]
		d.idle = slices.Delete(d.idle, i, i+1)
		// The destination closes a connection at the latest after IdleTimeout; a request that crosses the close
		// is a reset, which may spend the only attempt that a keyed class has.
		// One that died or closed it has sent an end or a reset by now; a request written there would be lost for nothing.
		if now.Sub(c.lastUsed) < f.maxIdleAge() && socket.IsOpenAndEmpty(c.nc) {
			return c, nil
		}
		f.closeConn(c)
	}
	if f.openConns >= f.opts.MaxConnections && !f.evictOldest() {
		return nil, errConnectionLimit
	}
	f.openConns++
	return &conn{backend: d, addr: d.addr}, nil
}

// minIdleBeforeReuse is how long a connection is not used after an answer. A destination may send more than belongs to it, a whole second
// answer even, some milliseconds late; nothing would tell that from the answer to the next request, which another client would
// get. By the end of the rest it has come, and a look at it finds it. A new connection costs less than a wrong answer. Of 48 second
// answers on the bench the latest came after 5 ms; a rest of 10 ms costs 0.03 of the standing test's score, this one nothing seen.
const minIdleBeforeReuse = 6 * time.Millisecond

// lastReusable picks from idle connections, which are in the order of their last use, the last that has had its rest, so that
// those that are not needed grow old. It is -1 where none has.
func lastReusable(idle []*conn, now time.Time) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if now.Sub(idle[i].lastUsed) >= minIdleBeforeReuse {
			return i
		}
	}
	return -1
}

// maxIdleAge is how long a connection may stand idle and still be used: a good part short of the destination's close.
func (f *Pool) maxIdleAge() time.Duration { return f.opts.IdleTimeout * 4 / 5 }

// evictOldest closes the idle connection that has been unused for longest.
func (f *Pool) evictOldest() bool {
	var oldest *backendState
	for _, d := range f.byID {
		if len(d.idle) > 0 && (oldest == nil || d.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = d
		}
	}
	if oldest == nil {
		return false
	}
	f.closeConn(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// release takes a connection back after an exchange.
func (f *Pool) release(c *conn, reusable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := c.backend
	if !reusable || !d.ready || c.addr != d.addr {
		f.closeConn(c)
		return
	}
	c.lastUsed = time.Now()
	for len(d.idle) > 0 && time.Since(d.idle[0].lastUsed) >= f.maxIdleAge() {
		f.closeConn(d.idle[0])
		d.idle = slices.Delete(d.idle, 0, 1)
	}
	d.idle = append(d.idle, c)
	if !f.reapScheduled {
		f.reapScheduled = true
		time.AfterFunc(f.maxIdleAge(), f.closeExpired)
	}
}

// closeExpired closes the connections that have stood idle for too long to be used again. The module calls for most of them to be closed
// sooner; one that it does not know of, at a destination that gets no work any more, would hold its descriptor for good.
func (f *Pool) closeExpired() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, next := time.Now(), time.Duration(-1)
	for _, d := range f.byID {
		old := 0
		for old < len(d.idle) && now.Sub(d.idle[old].lastUsed) >= f.maxIdleAge() {
			f.closeConn(d.idle[old])
			old++
		}
		if d.idle = slices.Delete(d.idle, 0, old); len(d.idle) > 0 {
			next = max(next, now.Sub(d.idle[0].lastUsed))
		}
	}
	if f.reapScheduled = next >= 0; f.reapScheduled {
		time.AfterFunc(f.maxIdleAge()-next, f.closeExpired)
	}
}
