// Package coordinationapi is the HTTP API through which applications use locks, numbers, keys and watches:
//
//	POST, PUT, DELETE /locks/ID     acquire, renew, release a lock
//	POST              /numbers/ID   a number above all numbers issued under the name
//	PUT, GET          /cells/ID     put and get a key
//	GET               /watch/GROUP  the puts to a group of keys after a revision (?after=&waitMs=)
//
// It validates requests, passes them to a Caller as calls, and writes the answers. An ID is one segment of the path; it
// may be percent-encoded.
package coordinationapi

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/message"
)

// Errors of a Caller.
var (
	// ErrNotExecuted means that the call was not executed and never will be.
	ErrNotExecuted = errors.New("not executed: no issuer can be reached now")
	// ErrTooManyCalls means that too many calls are waiting already. The call was not executed and never will be.
	ErrTooManyCalls = errors.New("not executed: too many calls wait")
	// ErrOutcomeUnknown means that the call may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("no answer in time: the outcome is not known")
)

// Caller executes calls. Its errors are, or wrap, those above; any other error is treated as ErrOutcomeUnknown.
type Caller interface {
	Call(ctx context.Context, call message.Call) (message.Answer, error)
}

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// retryAfterSeconds is the Retry-After header of the response to a call that was not executed.
const retryAfterSeconds = "0.2"

// Path prefixes of the resources.
const (
	locksPrefix   = "/locks/"
	numbersPrefix = "/numbers/"
	keysPrefix    = "/cells/"
	watchPrefix   = "/watch/"
)

// parser converts a request for the named resource to a call. The text of the error is sent to the client.
type parser func(name string, r *http.Request, body []byte) (message.Call, error)

// resource is a kind of resource with its methods.
type resource struct {
	prefix  string
	methods []method
}

type method struct {
	name  string
	parse parser
}

var resources = []resource{
	{locksPrefix, []method{{http.MethodPost, parseAcquire}, {http.MethodPut, parseRenew}, {http.MethodDelete, parseRelease}}},
	{numbersPrefix, []method{{http.MethodPost, parseNumber}}},
	{keysPrefix, []method{{http.MethodGet, parseGet}, {http.MethodPut, parsePut}}},
	{watchPrefix, []method{{http.MethodGet, parseWatch}}},
}

// Handler answers the calls of applications. It is safe for concurrent use.
type Handler struct {
	caller Caller
}

// NewHandler returns a handler that passes calls to caller.
func NewHandler(caller Caller) *Handler { return &Handler{caller: caller} }

// Serves reports whether a path, as in http.Request.URL.Path, belongs to this API. The handler answers other paths with
// 404.
func Serves(path string) bool {
	return lo.SomeBy(resources, func(r resource) bool { return strings.HasPrefix(path, r.prefix) })
}

// ServeHTTP answers one call. An invalid request is answered with a 4xx and is not passed to the Caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := readCall(w, r)
	if err != nil {
		writeRequestError(w, err)
		return
	}
	answer, err := h.caller.Call(r.Context(), call)
	if err != nil {
		writeCallError(w, err)
		return
	}
	writeAnswer(w, call.Kind, answer)
}

// readCall reads the complete body, so that the connection can be reused, and converts the request to a call.
func readCall(w http.ResponseWriter, r *http.Request) (message.Call, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return message.Call{}, bodyError(err)
	}
	path := r.URL.EscapedPath()
	found, ok := lo.Find(resources, func(candidate resource) bool { return strings.HasPrefix(path, candidate.prefix) })
	if !ok {
		return message.Call{}, &requestError{status: http.StatusNotFound, text: "no such resource"}
	}
	wanted, ok := lo.Find(found.methods, func(m method) bool { return m.name == r.Method })
	if !ok {
		return message.Call{}, methodNotAllowed(found)
	}
	name, err := parseName(strings.TrimPrefix(path, found.prefix))
	if err != nil {
		return message.Call{}, err
	}
	return wanted.parse(name, r, body)
}

func bodyError(err error) error {
	if errors.Is(err, bodybudget.ErrExhausted) {
		return &requestError{status: http.StatusServiceUnavailable, text: err.Error()}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &requestError{status: http.StatusRequestEntityTooLarge, text: "the body is over 64 KB"}
	}
	return invalid("the body cannot be read whole: %s", err)
}

func methodNotAllowed(r resource) error {
	allowed := strings.Join(lo.Map(r.methods, func(m method, _ int) string { return m.name }), ", ")
	return &requestError{status: http.StatusMethodNotAllowed, text: "the method must be one of " + allowed, allow: allowed}
}
