package listener

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/standalone/forwarder"
)

// A backend receives the request target as the client sent it, unusual queries and paths included, and the client's
// headers without Connection, Upgrade and X-Forwarded-For.
func TestServer_ForwardsRequestsUnchanged(t *testing.T) {
	for _, target := range []string{"/issue", "/issue?a=1;b=%zz&&c", "/issue/%2F/x%20y?", "/issue//a/../b?q=%", "//issue?x"} {
		synctest.Test(t, func(t *testing.T) {
			server := newTestServer(func(r *http.Request) (*http.Response, error) {
				if got := r.URL.RequestURI(); got != target {
					t.Errorf("target %q became %q", target, got)
				}
				if r.Method != "POST" || r.Host != "api.internal" || r.Header.Get("Idempotency-Key") != "5c0f" ||
					r.Header.Get("X-Correlation-Id") != "9b1f" || r.Header.Get("X-Session-Key") != "7f3a" || len(r.Header["X-Forwarded-For"]) != 0 ||
					len(r.Header["Upgrade"]) != 0 || len(r.Header["Connection"]) != 0 {
					t.Errorf("%s %s %v", r.Method, r.Host, r.Header)
				}
				deadline, _ := r.Context().Deadline()
				if key := forwarder.RequestInfoFrom(r.Context()).AffinityKey; key != xxhash.Sum64String("7f3a") {
					t.Errorf("the policy gets affinity key %x", key)
				}
				if left := time.Until(deadline); left != 480*time.Millisecond {
					t.Errorf("%v left", left)
				}
				return respondOK(r)
			}, 9)
			ln, stop := serveOnPipes(t, server)
			c, r := ln.dial()
			resp, body, err := exchange(c, r, "POST "+target+" HTTP/1.1\r\n"+issueHeaders+
				"Connection: Upgrade, Idempotency-Key, X-Session-Key\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\nbody")
			if err != nil || resp.StatusCode != 200 || body != "42" {
				t.Errorf("%s: %v %q %v", target, resp, body, err)
			}
			c.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A malformed request gets a plain 4xx response and is not forwarded.
func TestServer_RejectsMalformedRequests(t *testing.T) {
	post := func(h string) string { return "POST /issue HTTP/1.1\r\n" + h + "Content-Length: 0\r\n\r\n" }
	without := func(name string) string {
		i := strings.Index(issueHeaders, name)
		return issueHeaders[:i] + issueHeaders[i+strings.Index(issueHeaders[i:], "\r\n")+2:]
	}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no id":          {post(without("X-Correlation-Id")), 400},
		"no class":       {post(without("X-Service-Class")), 400},
		"no tenant":      {post(without("X-Account")), 400},
		"no time":        {post(without("X-Time-Left-Ms")), 400},
		"no key":         {post(without("Idempotency-Key")), 400},
		"two ids":        {post(issueHeaders + "X-Correlation-Id: 9b20\r\n"), 400},
		"unknown class":  {post(strings.Replace(issueHeaders, "issue", "other", 1)), 400},
		"unknown tenant": {post(strings.Replace(issueHeaders, "zenith", "other", 1)), 400},
		"odd time":       {post(strings.Replace(issueHeaders, "480", "-480", 1)), 400},
		"odd hint":       {post(strings.Replace(issueHeaders, "900", "much", 1)), 400},
		"wrong method":   {"GET /issue HTTP/1.1\r\n" + issueHeaders + "\r\n", 405},
		"long body":      {"POST /issue HTTP/1.1\r\n" + issueHeaders + "Content-Length: 33554433\r\n\r\n", 413},
		"garbage":        {"\x00\x01\r\n\r\n", 400},
		"length and coding": {"POST /issue HTTP/1.1\r\n" + issueHeaders + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\nPOST /issue HTTP/1.1\r\n" + issueHeaders + "Content-Length: 0\r\n\r\n", 400},
		"coding in 1.0": {"POST /issue HTTP/1.0\r\n" + issueHeaders + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n", 400},
		"half a body": {"POST /issue HTTP/1.1\r\n" + strings.Replace(issueHeaders, "480", "3000", 1) + "Content-Length: 4\r\n\r\nbo", 400},
	} {
		synctest.Test(t, func(t *testing.T) {
			server := newTestServer(func(*http.Request) (*http.Response, error) {
				t.Errorf("%s: it was forwarded", name)
				return nil, io.EOF
			}, 9)
			ln, stop := serveOnPipes(t, server)
			conn, r := ln.dial()
			begun := time.Now()
			resp, _, err := exchange(conn, r, c.text)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("%s: %v, %v, want status %d", name, resp, err, c.status)
			}
			if strings.Contains(c.text, "Transfer-Encoding") {
				if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
					t.Errorf("%s: after the response %q, %v", name, rest, err)
				}
			}
			if took := time.Since(begun); took > 2500*time.Millisecond {
				t.Errorf("%s: took %v", name, took)
			}
			conn.Close()
			<-stop()
		})
	}
}

// A session key has the same hash at every proxy and in every version; a header without a value, or with two, is no
// key.
func TestHashSessionKey(t *testing.T) {
	for want, values := range map[uint64][]string{0: {"a", "b"}, 0x580fd9631c029177: {"7f3a9c21e0b4d655"}} {
		if got := hashSessionKey(singleValue(http.Header{sessionKeyHeader: values}, sessionKeyHeader)); got != want {
			t.Errorf("%q: %#x, want %#x", values, got, want)
		}
	}
}

// A chunked request is served and is the last on its connection: a request that follows it is not served.
func TestServer_ChunkedRequestIsLastOnConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := 0
		ln, stop := serveOnPipes(t, newTestServer(func(r *http.Request) (*http.Response, error) { served++; return respondOK(r) }, 9))
		c, r := ln.dial()
		plain := "POST /issue HTTP/1.1\r\n" + issueHeaders + "Content-Length: 4\r\n\r\nbody"
		if resp, _, err := exchange(c, r, plain); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Errorf("%v, %v", resp, err)
		}
		resp, body, err := exchange(c, r, "POST /issue HTTP/1.1\r\n"+issueHeaders+
			"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"+plain)
		if err != nil || resp.StatusCode != 200 || body != "42" || !resp.Close || served != 2 {
			t.Errorf("%v, %q, %v, %d served", resp, body, err, served)
		}
		c.Close()
		<-stop()
	})
}

// FuzzReadHead reads arbitrary headers. A request that is accepted must conform to the settings.
func FuzzReadHead(f *testing.F) {
	f.Add("POST", "9b1f", "issue", "zenith", "480", "900", "5c0f")
	f.Add("GET", "9b1f", "quote", "acme", "4294967296", "-1", "")
	f.Add("\x00", "", "iss", "\xff", "1e3", "0x9", "k")
	requests := newTestServer(nil, 1).requests
	f.Fuzz(func(t *testing.T, method, id, class, tenant, left, hint, key string) {
		h := http.Header{correlationIDHeader: {id}, classHeader: {class}, tenantHeader: {tenant}, timeLeftHeader: {left},
			workHintHeader: {hint}, idempotencyKeyHeader: {key}}
		head, err := requests.readHead(method, h)
		if err != nil {
			return
		}
		defer requests.end(head.info)
		if info := head.info; info.Class > 1 || info.Tenant > 1 || info.Work < 0 || head.timeLeft < 0 ||
			head.timeLeft > 3*time.Second || id == "" || info.Class == 1 && key == "" {
			t.Errorf("accepted: %+v, %v", info, head.timeLeft)
		}
	})
}
