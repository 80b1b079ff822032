package listener

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
	"pumiceline/internal/standalone/requestclass"
	"pumiceline/internal/standalone/settings"
)

// Headers of a request.
const (
	correlationIDHeader  = "X-Correlation-Id"
	classHeader          = "X-Service-Class"
	tenantHeader         = "X-Account"
	timeLeftHeader       = "X-Time-Left-Ms"
	workHintHeader       = "X-Weight-Hint"
	idempotencyKeyHeader = "Idempotency-Key"
	sessionKeyHeader     = "X-Session-Key"
	repeatHeader         = "X-Repeat"
)

// maxWorkHintMicros is the largest guess at the work that is believed: an hour.
const maxWorkHintMicros = 3_600_000_000

// requestError is a fault of the client's. Its answer is plain and no busy reply: trying again would not help.
type requestError struct {
	status int
	text   string
}

func (b *requestError) Error() string { return b.text }

func badRequestf(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// requestReader reads requests as the settings ask.
type requestReader struct {
	mu      sync.Mutex
	classes requestclass.Book
	tenants map[string]uint32
}

// applySettings takes over new settings, if those that act on the classes' numbers do: apply gets the settings with the classes in
// the order of their numbers. Requests come in by the new numbers only after it.
func (rd *requestReader) applySettings(s *settings.Settings, apply func(numbered *settings.Settings) error) error {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	plan, err := rd.classes.Plan(s.Classes)
	if err != nil {
		return err
	}
	numbered := *s
	numbered.Classes = plan
	if err := apply(&numbered); err != nil {
		return err
	}
	rd.classes.Change(plan, s.Classes)
	rd.tenants = map[string]uint32{}
	for i, p := range s.Tenants {
		rd.tenants[p.Name] = uint32(i)
	}
	return nil
}

// begin begins a request of a class and a tenant. Where there is a fault, it has begun none.
func (rd *requestReader) begin(class, tenant string) (in *forwarder.RequestInfo, c settings.Class, err error) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	in = &forwarder.RequestInfo{}
	known := true
	if len(rd.tenants) > 0 {
		in.Tenant, known = rd.tenants[tenant]
	}
	if in.Class, c, _ = rd.classes.Take(class); c.Name == "" {
		return nil, c, badRequestf("%s names no class", classHeader)
	}
	if !known {
		rd.classes.Leave(in.Class)
		return nil, c, badRequestf("%s names no tenant", tenantHeader)
	}
	return in, c, nil
}

// end ends a request that read returned.
func (rd *requestReader) end(in *forwarder.RequestInfo) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.classes.Leave(in.Class)
}

// read reads a request's headers and then its body, as far as it can be kept, and returns the client's deadline. The time left
// counts from the request's last byte: of a body that is still to come, from there. coded and both say how the body is
// delimited. Without an error, leave is owed.
func (rd *requestReader) read(w http.ResponseWriter, r *http.Request, taken time.Time, coded, both bool) (in *forwarder.RequestInfo,
	deadline time.Time, err error) {
	in, left, err := rd.readHead(r.Method, r.Header)
	if err != nil {
		return nil, deadline, err
	}
	defer func(begun *forwarder.RequestInfo) {
		if err != nil {
			rd.end(begun)
		}
	}(in)
	deadline = taken.Add(left)
	if both {
		return nil, deadline, badRequestf("Content-Length and Transfer-Encoding do not go together")
	}
	if coded && len(r.TransferEncoding) == 0 { // net/http reads no such body in HTTP/1.0
		return nil, deadline, badRequestf("Transfer-Encoding has no meaning here")
	}
	if r.ContentLength > backend.MaxStreamedBody {
		return nil, deadline, &requestError{http.StatusRequestEntityTooLarge, backend.ErrBodyTooLarge.Error()}
	}
	if r.ContentLength == 0 {
		return in, deadline, nil
	}
	body := &pacedBody{body: http.MaxBytesReader(w, r.Body, backend.MaxStreamedBody), conn: http.NewResponseController(w)}
	var text bytes.Buffer
	if r.ContentLength > 0 {
		text.Grow(int(min(r.ContentLength, maxPreallocatedBytes)) + bytes.MinRead)
	}
	most := int64(backend.MaxBufferedBody)
	if r.ContentLength < 0 {
		most++ // a body of MaxBufferedBody ends only with the byte after
	}
	if _, err = text.ReadFrom(io.LimitReader(body, most)); err != nil {
		return nil, deadline, badRequestf("the body did not come whole")
	}
	in.Body = text.Bytes()
	if r.ContentLength > most || r.ContentLength < 0 && int64(text.Len()) == most {
		in.Stream = requestbody.New(body, r.ContentLength, left)
		return in, time.Now().Add(left), nil
	}
	if r.ContentLength > 0 { // ReadFrom stopped short of the body's own end
		if _, err = io.Copy(io.Discard, body); err != nil {
			return nil, deadline, badRequestf("the body did not come whole")
		}
	}
	if now := time.Now(); now.Sub(taken) > bodyArrivedWithHead {
		deadline = now.Add(left)
	}
	return in, deadline, nil
}

// bodyArrivedWithHead is within what a body that came with its head is read, even by a busy proxy: its client's time counts from the head.
const bodyArrivedWithHead = 50 * time.Millisecond

// maxPreallocatedBytes is how much memory a body gets for what it says of its length alone.
const maxPreallocatedBytes = 16 << 10

func (rd *requestReader) readHead(method string, h http.Header) (*forwarder.RequestInfo, time.Duration, error) {
	fail := func(format string, args ...any) (*forwarder.RequestInfo, time.Duration, error) {
		return nil, 0, badRequestf(format, args...)
	}
	if singleValue(h, correlationIDHeader) == "" {
		return fail("%s is missing or stands twice", correlationIDHeader)
	}
	left, err := strconv.ParseUint(singleValue(h, timeLeftHeader), 10, 32)
	if err != nil {
		return fail("%s is no time in whole milliseconds", timeLeftHeader)
	}
	var work policy.Time
	if len(h[workHintHeader]) > 0 {
		hint, err := strconv.ParseUint(singleValue(h, workHintHeader), 10, 64)
		if err != nil || hint > maxWorkHintMicros {
			return fail("%s is no work in microseconds", workHintHeader)
		}
		work = policy.Time(hint)
	}
	in, c, err := rd.begin(singleValue(h, classHeader), singleValue(h, tenantHeader))
	if err != nil {
		return nil, 0, err
	}
	in.WorkHint, in.SessionKey = work, sessionKey(singleValue(h, sessionKeyHeader))
	want := http.MethodGet
	if c.Semantics != "pure" {
		want = http.MethodPost
		if c.Semantics == "token" && singleValue(h, idempotencyKeyHeader) == "" { // without one, a request must not be repeated, and needs no key
			rd.end(in)
			return fail("%s is missing or stands twice", idempotencyKeyHeader)
		}
	}
	if method != want {
		rd.end(in)
		return nil, 0, &requestError{http.StatusMethodNotAllowed, "this class goes by " + want}
	}
	most := time.Duration(settings.Micros(c.ClientTimeout)) * time.Microsecond
	return in, min(time.Duration(left)*time.Millisecond, most), nil
}

// sessionKey is a session key as a number, the same at every proxy; 0 for none.
func sessionKey(text string) uint64 {
	if text == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(text))
}

// openIDSet are the correlation ids of the requests under way. Another request with one of them would be taken for the
// same one at a destination and in every log.
type openIDSet struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newOpenIDSet() *openIDSet { return &openIDSet{ids: map[string]struct{}{}} }

// reserve says whether id was free, and takes it.
func (o *openIDSet) reserve(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.ids[id]; taken {
		return false
	}
	o.ids[id] = struct{}{}
	return true
}

func (o *openIDSet) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

// singleValue returns a header's only value, or nothing if there are several: no choice among them would be right.
func singleValue(h http.Header, name string) string {
	if v := h[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}
