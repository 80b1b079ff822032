package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection, so they must not be forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// endToEndHeaders returns a copy of the headers that are forwarded. It omits the hop-by-hop headers and those that the
// Connection header names.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
