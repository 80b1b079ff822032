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
	idHeader       = "X-Correlation-Id"
	classHeader    = "X-Service-Class"
	tenantHeader   = "X-Account"
	timeLeftHeader = "X-Time-Left-Ms"
	hintHeader     = "X-Weight-Hint"
	keyHeader      = "Idempotency-Key"
	sessionHeader  = "X-Session-Key"
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

// reader reads requests as the settings ask.
type reader struct {
	mu      sync.Mutex
	book    requestclass.Book
	tenants map[string]uint32
}

// change takes over new settings, if those that act on the classes' numbers do: apply gets the settings with the classes in
// the order of their numbers. Requests come in by the new numbers only after it.
func (rd *reader) change(s *settings.Settings, apply func(numbered *settings.Settings) error) error {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	plan, err := rd.book.Plan(s.Classes)
	if err != nil {
		return err
	}
	numbered := *s
	numbered.Classes = plan
	if err := apply(&numbered); err != nil {
		return err
	}
	rd.book.Change(plan, s.Classes)
	rd.tenants = map[string]uint32{}
	for i, p := range s.Projects {
		rd.tenants[p.Name] = uint32(i)
	}
	return nil
}

// take begins a request of a class and a tenant. Where there is a fault, it has begun none.
func (rd *reader) take(class, tenant string) (in *forwarder.Inbound, c settings.Class, err error) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	in = &forwarder.Inbound{}
	known := true
	if len(rd.tenants) > 0 {
		in.Tenant, known = rd.tenants[tenant]
	}
	if in.Class, c, _ = rd.book.Take(class); c.Name == "" {
		return nil, c, bad("%s names no class", classHeader)
	}
	if !known {
		rd.book.Leave(in.Class)
		return nil, c, bad("%s names no tenant", tenantHeader)
	}
	return in, c, nil
}

// leave ends a request that read returned.
func (rd *reader) leave(in *forwarder.Inbound) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.book.Leave(in.Class)
}

// read reads a request's headers and then its body, as far as it can be kept, and returns the client's deadline. The time left
// counts from the request's last byte: of a body that is still to come, from there. coded and both say how the body is
// delimited. Without an error, leave is owed.
func (rd *reader) read(w http.ResponseWriter, r *http.Request, taken time.Time, coded, both bool) (in *forwarder.Inbound,
	deadline time.Time, err error) {
	in, left, err := rd.head(r.Method, r.Header)
	if err != nil {
		return nil, deadline, err
	}
	defer func(begun *forwarder.Inbound) {
		if err != nil {
			rd.leave(begun)
		}
	}(in)
	deadline = taken.Add(left)
	if both {
		return nil, deadline, bad("Content-Length and Transfer-Encoding do not go together")
	}
	if coded && len(r.TransferEncoding) == 0 { // net/http reads no such body in HTTP/1.0
		return nil, deadline, bad("Transfer-Encoding has no meaning here")
	}
	if r.ContentLength > backend.MostLong {
		return nil, deadline, &badRequest{http.StatusRequestEntityTooLarge, backend.ErrTooLong.Error()}
	}
	if r.ContentLength == 0 {
		return in, deadline, nil
	}
	body := &paced{body: http.MaxBytesReader(w, r.Body, backend.MostLong), conn: http.NewResponseController(w)}
	var text bytes.Buffer
	if r.ContentLength > 0 {
		text.Grow(int(min(r.ContentLength, trustedLength)) + bytes.MinRead)
	}
	most := int64(backend.MostBody)
	if r.ContentLength < 0 {
		most++ // a body of MostBody ends only with the byte after
	}
	if _, err = text.ReadFrom(io.LimitReader(body, most)); err != nil {
		return nil, deadline, bad("the body did not come whole")
	}
	in.Body = text.Bytes()
	if r.ContentLength > most || r.ContentLength < 0 && int64(text.Len()) == most {
		in.Rest = requestbody.New(body, r.ContentLength, left)
		return in, time.Now().Add(left), nil
	}
	if r.ContentLength > 0 { // ReadFrom stopped short of the body's own end
		if _, err = io.Copy(io.Discard, body); err != nil {
			return nil, deadline, bad("the body did not come whole")
		}
	}
	if now := time.Now(); now.Sub(taken) > atOnce {
		deadline = now.Add(left)
	}
	return in, deadline, nil
}

// atOnce is within what a body that came with its head is read, even by a busy proxy: its client's time counts from the head.
const atOnce = 50 * time.Millisecond

// trustedLength is how much memory a body gets for what it says of its length alone.
const trustedLength = 16 << 10

func (rd *reader) head(method string, h http.Header) (*forwarder.Inbound, time.Duration, error) {
	fail := func(format string, args ...any) (*forwarder.Inbound, time.Duration, error) {
		return nil, 0, bad(format, args...)
	}
	if one(h, idHeader) == "" {
		return fail("%s is missing or stands twice", idHeader)
	}
	left, err := strconv.ParseUint(one(h, timeLeftHeader), 10, 32)
	if err != nil {
		return fail("%s is no time in whole milliseconds", timeLeftHeader)
	}
	var work policy.Time
	if len(h[hintHeader]) > 0 {
		hint, err := strconv.ParseUint(one(h, hintHeader), 10, 64)
		if err != nil || hint > mostHint {
			return fail("%s is no work in microseconds", hintHeader)
		}
		work = policy.Time(hint)
	}
	in, c, err := rd.take(one(h, classHeader), one(h, tenantHeader))
	if err != nil {
		return nil, 0, err
	}
	in.Work, in.Key = work, sessionKey(one(h, sessionHeader))
	want := http.MethodGet
	if c.Semantics != "pure" {
		want = http.MethodPost
		if c.Semantics == "token" && one(h, keyHeader) == "" { // without one, a request must not be repeated, and needs no key
			rd.leave(in)
			return fail("%s is missing or stands twice", keyHeader)
		}
	}
	if method != want {
		rd.leave(in)
		return nil, 0, &badRequest{http.StatusMethodNotAllowed, "this class goes by " + want}
	}
	most := time.Duration(settings.Micros(c.HardLimit)) * time.Microsecond
	return in, min(time.Duration(left)*time.Millisecond, most), nil
}

// sessionKey is a session key as a number, the same at every proxy; 0 for none.
func sessionKey(text string) uint64 {
	if text == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(text))
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
