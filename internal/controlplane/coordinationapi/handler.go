// Package coordinationapi is the HTTP API by which applications use locks, numbers, keys and watches:
//
//	POST, PUT, DELETE /locks/ID     acquire, renew, release a lock
//	POST              /numbers/ID   a number above all that were given under the name
//	PUT, GET          /cells/ID     put and get a key
//	GET               /watch/GROUP  the puts to a group of keys after a revision (?after=&waitMs=)
//
// It checks requests, passes them to a Caller, and writes the answers. An ID is one segment of the path; it may be
// percent-encoded.
package coordinationapi

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Errors of a Caller.
var (
	// ErrNotExecuted says that the call was not carried out and never will be.
	ErrNotExecuted = errors.New("not executed: no issuer can be reached now")
	// ErrTooManyCalls says that too many calls wait already. The call was not carried out and never will be.
	ErrTooManyCalls = errors.New("not executed: too many calls wait")
	// ErrOutcomeUnknown says that the call may have been carried out, or may be yet.
	ErrOutcomeUnknown = errors.New("no answer in time: the outcome is not known")
)

// Caller carries out calls. Its errors are, or wrap, those above; any other counts as ErrOutcomeUnknown.
type Caller interface {
	Call(ctx context.Context, call message.Call) (message.Answer, error)
}

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// retryAfterSeconds is the Retry-After of a call that was not executed.
const retryAfterSeconds = "0.2"

// Path prefixes of the resources.
const (
	locksPrefix   = "/locks/"
	numbersPrefix = "/numbers/"
	keysPrefix    = "/cells/"
	watchPrefix   = "/watch/"
)

// parser makes a call of a request for the resource with a name. The error is for the client.
type parser func(name string, r *http.Request, body []byte) (message.Call, error)

// resource is a kind of resource and what can be done with it.
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

// Handler answers the calls of applications. Several goroutines may use it.
type Handler struct {
	caller Caller
}

// NewHandler returns a handler that passes calls to caller.
func NewHandler(caller Caller) *Handler { return &Handler{caller: caller} }

// Serves reports whether a path, as in http.Request.URL.Path, is one of this API. The handler answers others with 404.
func Serves(path string) bool {
	return lo.SomeBy(resources, func(r resource) bool { return strings.HasPrefix(path, r.prefix) })
}

// ServeHTTP answers one call. Requests that are not in order are answered with a 4xx, and nothing is done.
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

// readCall reads the request whole, so that its connection can be kept, and makes a call of it.
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
