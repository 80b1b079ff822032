// Package coordinationclient is the library by which applications use the system's locks, elections, numbers, keys and
// watches. It calls the control addresses of the coordinators, and another one after a failure, a 5xx, a 429 or a second of
// silence, with pauses that grow, until there is a clear answer or its patience is over.
//
// A hold of a lock counts from the moment at which the last successful call was sent, on the monotonic clock of this process.
// That clock stands still while the whole machine is suspended; where that happens, what the lock protects must check
// the fencing token.
package coordinationclient

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// silenceTimeout is how long a coordinator may be silent before another one is called. A watch adds its waiting time.
	silenceTimeout = time.Second
	// defaultPatience is how long a call is repeated where the options say nothing.
	defaultPatience = 5 * time.Second
	// maxResponseBytes bounds a response. That to a watch carries many events.
	maxResponseBytes = 16 << 20
)

// Options of a client.
type Options struct {
	Addresses  []string      // control addresses (host:port) of the coordinators, at least one
	Patience   time.Duration // how long a call without a clear answer is repeated; 0: 5 s
	HTTPClient *http.Client  // nil: one of its own
}

// Client calls the coordinators. Several goroutines may use it.
type Client struct {
	addresses []string
	patience  time.Duration
	http      *http.Client
	current   atomic.Uint64 // the address that is called, modulo their number; it changes with each failure
}

// New returns a client. The error says what is wrong with the options.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("addresses: at least one control address must be given")
	}
	if options.Patience < 0 {
		return nil, errors.New("patience: must not be negative")
	}
	c := &Client{addresses: options.Addresses, patience: options.Patience, http: options.HTTPClient}
	if c.patience == 0 {
		c.patience = defaultPatience
	}
	if c.http == nil {
		c.http = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return c, nil
}
