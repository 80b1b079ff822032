package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/policy"
)

// backendResponse converts a backend's response to the http.Response that ReverseProxy copies to the client.
func backendResponse(req *http.Request, response *backend.Response) *http.Response {
	if response.Stream != nil {
		return streamedResponse(req, response)
	}
	return bufferedResponse(req, http.StatusOK, response.Header, response.Body)
}

// streamedResponse returns a response that is copied to the client as it arrives. Its length, if known, is in the
// header only; ContentLength is -1, because ReverseProxy flushes after each write only if the length is unknown.
// Without the flush the client would get the bytes that have arrived together with the next ones, which may take
// seconds.
func streamedResponse(req *http.Request, response *backend.Response) *http.Response {
	resp := bufferedResponse(req, http.StatusOK, response.Header, nil)
	resp.ContentLength, resp.Body = -1, response.Stream
	resp.Header.Del("Content-Length")
	if response.Length >= 0 {
		resp.Header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	return resp
}

// rejectedResponse returns the response to a request that the policy has rejected. No backend has executed the request,
// so its client may send it again, after retryAfter microseconds; 0: the response has no Retry-After.
func rejectedResponse(req *http.Request, retryAfter policy.Time) *http.Response {
	resp := textResponse(req, http.StatusServiceUnavailable, "busy\n")
	if retryAfter > 0 {
		resp.Header.Set("Retry-After", FormatRetryAfter(retryAfter))
	}
	return resp
}

// FormatRetryAfter returns the value of a Retry-After header for a time in microseconds: seconds with three decimals.
func FormatRetryAfter(retryAfter policy.Time) string {
	return strconv.FormatFloat(float64(retryAfter)/1e6, 'f', 3, 64)
}

func textResponse(req *http.Request, status int, text string) *http.Response {
	return bufferedResponse(req, status, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, []byte(text))
}

// bufferedResponse returns a response with a complete body. It modifies header and uses it as the response's header.
func bufferedResponse(req *http.Request, status int, header http.Header, body []byte) *http.Response {
	header.Set("Content-Length", strconv.Itoa(len(body)))
	return &http.Response{
		StatusCode:    status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Request:       req,
	}
}
