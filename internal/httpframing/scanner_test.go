package httpframing

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestScanner(t *testing.T) {
	for text, want := range map[string]Scanner{
		"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n":                      {Heads: 2},
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n":                  {Heads: 1, TransferEncodingHead: 1, HasLengthAndEncoding: true, AmbiguousHead: 1},
		"GET / HTTP/1.1\n\nPOST / HTTP/1.1\ntransfer-encoding:chunked\n\n0\r\n\r\n":                   {Heads: 2, TransferEncodingHead: 2},
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n":     {Heads: 1},
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\n": {Heads: 2, AmbiguousHead: 2},
	} {
		var got Scanner
		got.Scan([]byte(text))
		if got.Heads != want.Heads || got.TransferEncodingHead != want.TransferEncodingHead ||
			got.HasLengthAndEncoding != want.HasLengthAndEncoding || got.AmbiguousHead != want.AmbiguousHead {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// FuzzScanner compares the Scanner with net/http on the same bytes. The Scanner receives them in pieces of any size.
func FuzzScanner(f *testing.F) {
	messages := "POST /issue HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 5\r\nContent-Length: 4\r\n\r\nbody" +
		"GET /quote HTTP/1.1\r\nHost: x\r\n\r\n" + "POST / HTTP/1.1\r\nHost: x\r\n" +
		"content-length:2\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
	for cut := 0; cut <= len(messages); cut += 41 {
		f.Add([]byte(messages[:cut]), 1+cut%7)
		f.Add([]byte(messages[cut:]), 1+cut%11)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		var got Scanner
		for rest := text; len(rest) > 0; {
			n := min(max(1, piece), len(rest))
			got.Scan(rest[:n])
			rest = rest[n:]
		}
		br := bufio.NewReader(strings.NewReader(string(text)))
		for heads := int32(1); ; heads++ {
			r, err := http.ReadRequest(br)
			if err != nil || r.Body == nil {
				return
			}
			if heads > got.Heads {
				t.Fatalf("net/http reads head %d, but the scanner has found only %d heads", heads, got.Heads)
			}
			if len(r.TransferEncoding) > 0 {
				if got.TransferEncodingHead != heads {
					t.Fatalf("head %d has a Transfer-Encoding that the scanner has not found", heads)
				}
				return
			}
			if got.TransferEncodingHead == heads {
				return // net/http ignores this Transfer-Encoding; the listener rejects such a request
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}
