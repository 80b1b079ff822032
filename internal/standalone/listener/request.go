package listener

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestclass"
	"pumiceline/internal/standalone/settings"
)

// Headers of a request.
const (
	correlationIDHeader  = "X-Correlation-Id"
	classHeader          = "X-Service-Class"
	tenantHeader         = "X-Account"
	timeLeftHeader       = backend.TimeLeftHeader // the client's time-out, in milliseconds
	workHintHeader       = "X-Weight-Hint"        // the expected work, in microseconds on a standard core; optional
	idempotencyKeyHeader = "Idempotency-Key"
	sessionKeyHeader     = "X-Session-Key" // optional
	retryHeader          = "X-Repeat"      // "1": the client repeats a request that was rejected; optional
)

// Values of settings.Class.Semantics for which a request needs another method than POST or an idempotency key. Requests
// of any other semantics are not retried; they are POSTs and need no key.
const (
	semanticsPure  = "pure"  // has no effect: a GET
	semanticsToken = "token" // deduplicated by its idempotency key: a POST with a key
)

// maxWorkHintMicros is the largest work hint that is accepted: an hour.
const maxWorkHintMicros = 3_600_000_000

// requestError is the error of a malformed request, with the HTTP status of the response.
type requestError struct {
	status int
	text   string // for the client
}

func (e *requestError) Error() string { return e.text }

// badRequestf returns a requestError with status 400.
func badRequestf(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// requestReader reads requests and checks them against the settings in force.
type requestReader struct {
	mu      sync.Mutex // guards what follows
	classes requestclass.Table
	tenants map[string]uint32 // their indexes in the settings, by name; empty: the deployment has no tenants
}

// acceptedRequest is a request that has passed the checks.
type acceptedRequest struct {
	info     *forwarder.RequestInfo
	deadline time.Time // the client's; provisional with an info.Stream, as it counts from the stream's last byte
}

// requestHead is a request's head that has passed the checks.
type requestHead struct {
	info     *forwarder.RequestInfo
	timeLeft time.Duration // how long the client waits, from the request's last byte
}

// applySettings calls apply with the new settings, whose classes are in the order of their numbers, and then replaces
// the settings unless apply returned an error. Requests carry the new numbers only after apply has returned.
func (rr *requestReader) applySettings(next *settings.Settings, apply func(numbered *settings.Settings) error) error {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	plan, err := rr.classes.Plan(next.Classes)
	if err != nil {
		return err
	}
	numbered := *next
	numbered.Classes = plan
	if err := apply(&numbered); err != nil {
		return err
	}
	rr.classes.Apply(plan, next.Classes)
	rr.tenants = map[string]uint32{}
	for i, p := range next.Tenants {
		rr.tenants[p.Name] = uint32(i)
	}
	return nil
}

// classNumbers returns how many class numbers have been assigned.
func (rr *requestReader) classNumbers() int {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return rr.classes.Len()
}

// begin counts a request of a class and tenant as in flight, and sets both in info; end must follow. It returns the
// class's settings. An error means that the request is not counted.
func (rr *requestReader) begin(info *forwarder.RequestInfo, className, tenantName string) (settings.Class, error) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	isKnownTenant := true
	if len(rr.tenants) > 0 {
		info.Tenant, isKnownTenant = rr.tenants[tenantName]
	}
	number, class, ok := rr.classes.Acquire(className)
	if !ok {
		return settings.Class{}, badRequestf("%s names no class", classHeader)
	}
	info.Class = number
	if !isKnownTenant {
		rr.classes.Release(number)
		return settings.Class{}, badRequestf("%s names no tenant", tenantHeader)
	}
	return class, nil
}

// end ends a request that begin counted.
func (rr *requestReader) end(info *forwarder.RequestInfo) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.classes.Release(info.Class)
}

// read checks a request's head and reads the part of its body that is buffered. Unless it returns an error, end must
// follow.
func (rr *requestReader) read(w http.ResponseWriter, r *http.Request, receivedAt time.Time, framing bodyFraming) (
	acceptedRequest, error) {
	head, err := rr.readHead(r.Method, r.Header)
	if err != nil {
		return acceptedRequest{}, err
	}
	var deadline time.Time
	if err = checkFraming(r, framing); err == nil {
		deadline, err = readBody(w, r, head, receivedAt)
	}
	if err != nil {
		rr.end(head.info)
		return acceptedRequest{}, err
	}
	return acceptedRequest{info: head.info, deadline: deadline}, nil
}

// readHead checks a request's method and headers. Unless it returns an error, end must follow.
func (rr *requestReader) readHead(method string, h http.Header) (requestHead, error) {
	if singleValue(h, correlationIDHeader) == "" {
		return requestHead{}, badRequestf("%s is missing or stands twice", correlationIDHeader)
	}
	timeLeftMs, err := strconv.ParseUint(singleValue(h, timeLeftHeader), 10, 32)
	if err != nil {
		return requestHead{}, badRequestf("%s is no time in whole milliseconds", timeLeftHeader)
	}
	workHint, err := parseWorkHint(h)
	if err != nil {
		return requestHead{}, err
	}
	info := &forwarder.RequestInfo{Work: workHint, AffinityKey: hashSessionKey(singleValue(h, sessionKeyHeader))}
	class, err := rr.begin(info, singleValue(h, classHeader), singleValue(h, tenantHeader))
	if err != nil {
		return requestHead{}, err
	}
	if err := checkSemantics(class, method, h); err != nil {
		rr.end(info)
		return requestHead{}, err
	}
	classTimeout := engine.Duration(settings.Micros(class.ClientTimeout))
	return requestHead{info: info, timeLeft: min(time.Duration(timeLeftMs)*time.Millisecond, classTimeout)}, nil
}

// parseWorkHint returns a request's work hint in microseconds, or 0 if it has none.
func parseWorkHint(h http.Header) (policy.Time, error) {
	if len(h[workHintHeader]) == 0 {
		return 0, nil
	}
	hint, err := strconv.ParseUint(singleValue(h, workHintHeader), 10, 64)
	if err != nil || hint > maxWorkHintMicros {
		return 0, badRequestf("%s is no work in microseconds", workHintHeader)
	}
	return policy.Time(hint), nil
}

// checkSemantics checks that a request has the method and, if needed, the idempotency key that its class requires.
func checkSemantics(class settings.Class, method string, h http.Header) error {
	required := http.MethodPost
	if class.Semantics == semanticsPure {
		required = http.MethodGet
	}
	if class.Semantics == semanticsToken && singleValue(h, idempotencyKeyHeader) == "" {
		return badRequestf("%s is missing or stands twice", idempotencyKeyHeader)
	}
	if method != required {
		return &requestError{http.StatusMethodNotAllowed, "this class goes by " + required}
	}
	return nil
}

// checkFraming rejects a body of which the proxy and a backend could find different ends, and one that is too large.
func checkFraming(r *http.Request, framing bodyFraming) error {
	if framing.hasContentLengthToo {
		return badRequestf("Content-Length and Transfer-Encoding do not go together")
	}
	if framing.hasTransferEncoding && len(r.TransferEncoding) == 0 { // in HTTP/1.0, where net/http ignores the header
		return badRequestf("Transfer-Encoding has no meaning here")
	}
	if r.ContentLength > backend.MaxStreamedBody {
		return &requestError{http.StatusRequestEntityTooLarge, backend.ErrBodyTooLarge.Error()}
	}
	return nil
}

// hashSessionKey returns the hash of a session key, which is the same at every proxy, or 0 if there is no key.
func hashSessionKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key))
}

// singleValue returns a header's only value, or "" if it has none or several: a backend might use another of several.
func singleValue(h http.Header, name string) string {
	if values := h[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}
