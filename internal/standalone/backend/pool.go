package backend

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"pumiceline/internal/logkey"
	"pumiceline/internal/standalone/policy"
)

// warningInterval is the minimum time between two log records about malformed responses or load reports.
const warningInterval = time.Second

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the time to make a connection.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which backends close a connection. The pool reuses a connection only if it has
	// been idle for less than four fifths of that.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections to all backends together.
	MaxConnections int
	// ReportColumns are the columns of load reports, in the order of Result.Report. Empty: responses carry no reports.
	ReportColumns []string
	// OnRequestWritten is called for each request whose last byte has been written. It may be nil.
	OnRequestWritten func()
	// Dial makes connections. nil: DialTCP.
	Dial Dial
}

// Dial makes a connection to addr, or fails at deadline at the latest.
type Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// DialTCP is the Dial for TCP.
func DialTCP(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Pool holds the backends and the connections to them. It is safe for concurrent use.
type Pool struct {
	log  *slog.Logger
	opts Options // mu guards the timeouts and MaxConnections; the other fields do not change

	mu            sync.Mutex // guards the fields below
	reportColumns []string
	byID          map[policy.ServerID]*backendState
	openConns     int  // open connections, and those that are being made
	reapScheduled bool // a timer will call closeExpired

	lastWarning        time.Time // time of the last log record about a malformed response or report
	suppressedWarnings int       // number of such warnings since then that were not logged
}

// backendState is a backend and its idle connections.
type backendState struct {
	id    policy.ServerID
	addr  string
	ready bool    // it is a member and not draining
	idle  []*conn // in the order of their last use, the latest at the end
}

// NewPool returns a pool without backends.
func NewPool(opts Options, log *slog.Logger) *Pool {
	if opts.Dial == nil {
		opts.Dial = DialTCP
	}
	return &Pool{opts: opts, reportColumns: opts.ReportColumns, log: log, byID: map[policy.ServerID]*backendState{}}
}

// ApplySettings replaces the timeouts and the report columns. The new idle timeout applies to idle connections too.
func (p *Pool) ApplySettings(dialTimeout, idleTimeout time.Duration, reportColumns []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.DialTimeout, p.opts.IdleTimeout, p.reportColumns = dialTimeout, idleTimeout, reportColumns
}

// SetMaxConnections replaces the bound on connections. Connections in use beyond it stay until they are released.
func (p *Pool) SetMaxConnections(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.MaxConnections = limit
	for p.openConns > limit {
		if !p.evictOldest() {
			return
		}
	}
}

func (p *Pool) dialTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.DialTimeout
}

func (p *Pool) columns() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportColumns
}

// SetBackend sets a backend's address, and whether it may get new requests. An empty address removes the backend.
func (p *Pool) SetBackend(id policy.ServerID, addr string, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byID[id]
	if b == nil {
		b = &backendState{id: id}
		p.byID[id] = b
	}
	if b.addr != addr && addr != "" {
		b.addr = addr
		p.closeIdle(b)
	}
	b.ready = ready
	if !ready {
		p.closeIdle(b)
	}
	if addr == "" { // attempts in progress keep their *backendState, where ready is false
		delete(p.byID, id)
	}
}

// isReady reports whether a backend may get new requests.
func (p *Pool) isReady(b *backendState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.ready
}

// TableSizes are the numbers of entries in a Pool's tables, for the admin API.
type TableSizes struct {
	Backends        int
	IdleConnections int
}

// TableSizes returns how many entries the tables hold now.
func (p *Pool) TableSizes() TableSizes {
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := TableSizes{Backends: len(p.byID)}
	for _, b := range p.byID {
		sizes.IdleConnections += len(b.idle)
	}
	return sizes
}

// OpenConnections returns how many connections are open or being made.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// warnMalformed logs that a backend's response or load report is malformed, at most once in warningInterval: a backend
// with that fault may send it in every response, which would fill the log.
func (p *Pool) warnMalformed(message string, b *backendState, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastWarning) < warningInterval {
		p.suppressedWarnings++
		return
	}
	p.log.Warn(message, logkey.Address, b.addr, "error", err, "suppressed", p.suppressedWarnings)
	p.lastWarning, p.suppressedWarnings = time.Now(), 0
}
