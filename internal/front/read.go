package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pumiceline/decide"
	"pumiceline/internal/destination"
	"pumiceline/internal/route"
	"pumiceline/settings"
)

// Headers of a request.
const (
	idHeader       = "X-Correlation-Id"
	classHeader    = "X-Service-Class"
	tenantHeader   = "X-Account"
	timeLeftHeader = "X-Time-Left-Ms"
	hintHeader     = "X-Weight-Hint"
	keyHeader      = "Idempotency-Key"
	repeatHeader   = "X-Repeat"
)

// mostHint is the largest guess at the work that is believed: an hour.
const mostHint = 3_600_000_000

// badRequest is a fault of the client's. Its answer is plain and no busy reply: trying again would not help.
type badRequest struct {
	status int
	text   string
}

func (b *badRequest) Error() string { return b.text }

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

type class struct {
	index uint8
	keyed bool
	most  time.Duration // the longest that a client may wait
}

// reader reads requests as the settings ask.
type reader struct {
	classes map[string]class
	tenants map[string]uint32
}

func newReader(s *settings.Settings) *reader {
	r := &reader{classes: map[string]class{}, tenants: map[string]uint32{}}
	for i, c := range s.Classes {
		r.classes[c.Name] = class{index: uint8(i), keyed: c.Semantics != "pure",
			most: time.Duration(settings.Micros(c.HardLimit)) * time.Microsecond}
	}
	for i, p := range s.Projects {
		r.tenants[p.Name] = uint32(i)
	}
	return r
}

// read reads a request's headers and then its whole body, and returns the client's deadline. The time left
// counts from the request's coming, not from the body's end. coded and both say how the body is delimited.
func (rd *reader) read(w http.ResponseWriter, r *http.Request, taken time.Time, coded, both bool) (*route.Inbound,
	time.Time, error) {
	in, deadline, err := rd.head(r.Method, r.Header, taken)
	if err != nil {
		return nil, deadline, err
	}
	if both {
		return nil, deadline, bad("Content-Length and Transfer-Encoding do not go together")
	}
	if coded && len(r.TransferEncoding) == 0 { // net/http reads no such body in HTTP/1.0
		return nil, deadline, bad("Transfer-Encoding has no meaning here")
	}
	if r.ContentLength > destination.MostBody {
		return nil, deadline, &badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	}
	if r.ContentLength == 0 {
		return in, deadline, nil
	}
	conn := http.NewResponseController(w)
	// A client that keeps back its body must not hold its place until its own deadline.
	until := taken.Add(bodyWithin)
	if deadline.Before(until) {
		until = deadline
	}
	if err := conn.SetReadDeadline(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, deadline, fmt.Errorf("reading the body: %w", err)
	}
	if in.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, destination.MostBody)); err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, deadline, &badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
		}
		return nil, deadline, bad("the body did not come whole")
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, deadline, fmt.Errorf("reading the body: %w", err)
	}
	return in, deadline, nil
}

func (rd *reader) head(method string, h http.Header, taken time.Time) (*route.Inbound, time.Time, error) {
	fail := func(format string, args ...any) (*route.Inbound, time.Time, error) {
		return nil, time.Time{}, bad(format, args...)
	}
	if one(h, idHeader) == "" {
		return fail("%s is missing or stands twice", idHeader)
	}
	c, ok := rd.classes[one(h, classHeader)]
	if !ok {
		return fail("%s names no class", classHeader)
	}
	in := &route.Inbound{Class: c.index}
	if len(rd.tenants) > 0 {
		if in.Tenant, ok = rd.tenants[one(h, tenantHeader)]; !ok {
			return fail("%s names no tenant", tenantHeader)
		}
	}
	left, err := strconv.ParseUint(one(h, timeLeftHeader), 10, 32)
	if err != nil {
		return fail("%s is no time in whole milliseconds", timeLeftHeader)
	}
	deadline := taken.Add(min(time.Duration(left)*time.Millisecond, c.most))
	if len(h[hintHeader]) > 0 {
		hint, err := strconv.ParseUint(one(h, hintHeader), 10, 64)
		if err != nil || hint > mostHint {
			return fail("%s is no work in microseconds", hintHeader)
		}
		in.Work = decide.Time(hint)
	}
	want := http.MethodGet
	if c.keyed {
		want = http.MethodPost
		if one(h, keyHeader) == "" {
			return fail("%s is missing or stands twice", keyHeader)
		}
	}
	if method != want {
		return nil, time.Time{}, &badRequest{http.StatusMethodNotAllowed, "this class goes by " + want}
	}
	return in, deadline, nil
}

// openIDs are the correlation ids of the requests under way. Another request with one of them would be taken for the
// same one at a destination and in every log.
type openIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newOpenIDs() *openIDs { return &openIDs{ids: map[string]struct{}{}} }

// open says whether id was free, and takes it.
func (o *openIDs) open(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.ids[id]; taken {
		return false
	}
	o.ids[id] = struct{}{}
	return true
}

func (o *openIDs) close(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

// one returns a header's only value, or nothing if there are several: no choice among them would be right.
func one(h http.Header, name string) string {
	if v := h[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}
