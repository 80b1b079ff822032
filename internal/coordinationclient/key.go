package coordinationclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Key is a key with a small value and a revision. It is safe for concurrent use.
type Key struct {
	client *Client
	name   message.KeyName
}

// NewKey returns the key of a name. Keys whose names are equal up to and including the first dot form a group: they
// share one sequence of revisions and can be watched together.
func (c *Client) NewKey(name message.KeyName) *Key { return &Key{client: c, name: name} }

// Entry is the value of a key with its revision.
type Entry struct {
	Value    string
	Revision message.Revision
}

func (k *Key) path() string { return "/cells/" + url.PathEscape(string(k.name)) }

// Get returns the entry of the newest put that was acknowledged before the call, or of a later one. The error is
// ErrNotFound if the key was never put.
func (k *Key) Get(ctx context.Context) (Entry, error) {
	answer, err := k.client.do(ctx, request{method: http.MethodGet, path: k.path()})
	if err != nil {
		return Entry{}, err
	}
	switch answer.status {
	case http.StatusOK:
		var body struct {
			Value    string           `json:"value"`
			Revision message.Revision `json:"revision"`
		}
		err := answer.decode(&body)
		return Entry(body), err
	case http.StatusNotFound:
		return Entry{}, errors.Wrapf(ErrNotFound, "key %s", k.name)
	}
	return Entry{}, answer.rejected()
}

// putBody is the body of a put.
type putBody struct {
	Value      string            `json:"value"`
	IfRevision *message.Revision `json:"ifRevision,omitempty"` // nil: any
}

// Put sets the key if its revision is ifRevision, or if it was never put and ifRevision is 0, and returns the new
// revision. The value must never have been put to the key before: a put without a definite answer is sent again, and
// the coordinators recognise the repeat by its value. The error is a *RevisionMismatchError if the key has another
// revision; the put has not taken effect then and never will. After ErrOutcomeUnknown it may have taken effect, and the
// same put may be tried again.
func (k *Key) Put(ctx context.Context, value string, ifRevision message.Revision) (message.Revision, error) {
	return k.put(ctx, putBody{Value: value, IfRevision: &ifRevision})
}

// Set puts a value regardless of the key's revision. The rules of Put for the value apply.
func (k *Key) Set(ctx context.Context, value string) (message.Revision, error) {
	return k.put(ctx, putBody{Value: value})
}

func (k *Key) put(ctx context.Context, body putBody) (message.Revision, error) {
	answer, err := k.client.do(ctx, request{method: http.MethodPut, path: k.path(), body: body})
	if err != nil {
		return 0, err
	}
	if answer.status != http.StatusOK && answer.status != http.StatusPreconditionFailed {
		return 0, answer.rejected()
	}
	var result struct {
		Revision message.Revision `json:"revision"`
	}
	if err := answer.decode(&result); err != nil {
		return 0, err
	}
	if answer.status == http.StatusPreconditionFailed {
		return 0, fmt.Errorf("key %s: %w", k.name, &RevisionMismatchError{Revision: result.Revision})
	}
	return result.Revision, nil
}
