package coordinationclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Key is a small value with a revision. Several goroutines may use it.
type Key struct {
	client *Client
	name   message.KeyName
}

// NewKey returns a key by its name. The keys whose names are alike up to the first dot are a group: they share one count of
// revisions, and a watch.
func (c *Client) NewKey(name message.KeyName) *Key { return &Key{client: c, name: name} }

// Entry is what a key holds.
type Entry struct {
	Value    string
	Revision message.Revision
}

func (k *Key) path() string { return "/cells/" + url.PathEscape(string(k.name)) }

// Get returns what the key holds: the newest put that was acknowledged before the call, or a later one. The error is
// ErrNotFound where the key was never put.
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
	IfRevision *message.Revision `json:"ifRevision,omitempty"` // nil: whatever revision the key has
}

// Put sets the key where its revision is ifRevision, or where it was never put and ifRevision is 0, and returns the new
// revision. The value must be one that was never put to the key: a put without a clear answer is sent again, and is known by
// its value. The error is a *RevisionMismatchError where the key has another revision; the put has not taken effect then and
// never will. After ErrOutcomeUnknown it may have, and the same put may be tried again.
func (k *Key) Put(ctx context.Context, value string, ifRevision message.Revision) (message.Revision, error) {
	return k.put(ctx, putBody{Value: value, IfRevision: &ifRevision})
}

// Set is Put whatever revision the key has.
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
