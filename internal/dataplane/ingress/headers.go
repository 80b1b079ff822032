package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// endToEndHeaders returns a copy of the headers that are forwarded: without the hop-by-hop headers and those that
// Connection names.
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
