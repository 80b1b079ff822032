package listener

import (
	"context"
	"errors"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
)

// rewriteRequest keeps the request's target as the client sent it: parsing and formatting it would change unusual
// queries, and ReverseProxy drops parameters that it cannot parse.
func rewriteRequest(pr *httputil.ProxyRequest) {
	target := &url.URL{Opaque: pr.In.RequestURI}
	if !strings.HasPrefix(pr.In.RequestURI, "/") || strings.HasPrefix(pr.In.RequestURI, "//") {
		// An opaque URL cannot express these targets: an absolute one ("http://...") or one that begins with "//".
		target = &url.URL{
			Path:       pr.In.URL.Path,
			RawPath:    pr.In.URL.RawPath,
			RawQuery:   pr.In.URL.RawQuery,
			ForceQuery: pr.In.URL.ForceQuery,
		}
	}
	pr.Out.URL, pr.Out.Host = target, pr.In.Host
	pr.Out.Header.Del("Upgrade") // a backend must not be asked for another protocol
	pr.Out.Header.Del("Connection")
	pr.Out.Header.Del("Expect") // the body has been read, or is being read
	// ReverseProxy drops headers that a client names in Connection. These must be kept: a request without its
	// idempotency key could be executed twice.
	for _, name := range []string{correlationIDHeader, idempotencyKeyHeader, sessionKeyHeader} {
		if v, ok := pr.In.Header[name]; ok {
			pr.Out.Header[name] = v
		}
	}
}

// handleProxyError answers a request for which the transport returned an error instead of a response.
func (s *Server) handleProxyError(w http.ResponseWriter, _ *http.Request, err error) {
	if !errors.Is(err, context.Canceled) {
		s.opts.Log.Error("request failed without a response", "error", err)
	}
	w.WriteHeader(http.StatusBadGateway)
}

// copyBufferBytes is enough to copy almost every response with one read and one write.
const copyBufferBytes = 16 << 10

// bufferPool pools the buffers through which responses are copied to clients. Without a pool ReverseProxy allocates
// 32 KiB for each response, which at a thousand a second keeps the garbage collector busy.
type bufferPool struct{ pool sync.Pool }

func newBufferPool() *bufferPool {
	return &bufferPool{sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}}
}

// Get and Put implement httputil.BufferPool.
func (b *bufferPool) Get() []byte    { return b.pool.Get().(*[copyBufferBytes]byte)[:] }
func (b *bufferPool) Put(old []byte) { b.pool.Put((*[copyBufferBytes]byte)(old)) }
