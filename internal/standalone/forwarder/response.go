package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/policy"
)

// backendResponse returns a backend's response in the form that ReverseProxy copies to the client.
func backendResponse(req *http.Request, response *backend.Response) *http.Response {
	if response.Stream != nil {
		return streamedResponse(req, response)
	}
	return bufferedResponse(req, http.StatusOK, response.Header, response.Body)
}

// streamedResponse is a response that is copied while it comes. Its length is in the header alone, and not in
// ContentLength: ReverseProxy flushes a response of unknown length after each write, which is needed here, as the next
// bytes may take seconds.
func streamedResponse(req *http.Request, response *backend.Response) *http.Response {
	resp := bufferedResponse(req, http.StatusOK, response.Header, nil)
	resp.ContentLength, resp.Body = -1, response.Stream
	resp.Header.Del("Content-Length")
	if response.Length >= 0 {
		resp.Header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	return resp
}

// rejectedResponse is the response to a request that the policy has rejected: nothing has executed it, so that its
// client may send it again. retryAfter is when it should, in microseconds; 0: the response has no Retry-After.
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

// bufferedResponse is a response whose body is known. It changes and keeps header.
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
