// Package coordinationclient is the library with which applications use the system's locks, elections, numbers, keys
// and watches. It calls the control addresses of the coordinators. After a failure, a 5xx other than 507, a 429 or a
// second without a response it calls the next address, after a pause that grows with each attempt. It stops when there
// is a definite answer or the time limit of the call has passed.
//
// The duration of a hold of a lock is measured from the time at which the last successful call was sent, on the
// monotonic clock of this process. That clock does not advance while the machine is suspended, so a holder may use the
// lock after its hold has ended. On machines that may be suspended, the resource that the lock protects must check the
// fencing token.
package coordinationclient

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// responseTimeout is how long a coordinator may take to respond before the next one is called. A watch adds its
	// waiting time.
	responseTimeout = time.Second
	// defaultRetryTimeout is how long a call is repeated if Options.Patience is 0.
	defaultRetryTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response. The response to a watch may carry many events.
	maxResponseBytes = 16 << 20
)

// Options of a client.
type Options struct {
	Addresses    []string      // control addresses (host:port) of the coordinators, at least one
	RetryTimeout time.Duration // how long a call without a definite answer is repeated; 0: 5 s
	HTTPClient   *http.Client  // nil: a client with its own transport
}

// Client calls the coordinators. It is safe for concurrent use.
type Client struct {
	addresses    []string
	retryTimeout time.Duration
	http         *http.Client
	current      atomic.Uint64 // index of the address in use, modulo their number; advances after each failure
}

// New returns a client, or an error if the options are invalid.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("addresses: at least one control address must be given")
	}
	if options.RetryTimeout < 0 {
		return nil, errors.New("patience: must not be negative")
	}
	c := &Client{addresses: options.Addresses, retryTimeout: options.RetryTimeout, http: options.HTTPClient}
	if c.retryTimeout == 0 {
		c.retryTimeout = defaultRetryTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return c, nil
}
