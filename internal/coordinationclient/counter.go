package coordinationclient

import (
	"context"
	"net/http"
	"net/url"

	"pumiceline/internal/message"
)

// Counter gives numbers that never repeat. Several goroutines may use it.
type Counter struct {
	client *Client
	name   message.KeyName
}

// NewCounter returns a counter by its name.
func (c *Client) NewCounter(name message.KeyName) *Counter { return &Counter{client: c, name: name} }

// Next returns a number above all that were given under the name before the call. Numbers may be skipped.
func (c *Counter) Next(ctx context.Context) (uint64, error) {
	answer, err := c.client.do(ctx, request{
		method: http.MethodPost, path: "/numbers/" + url.PathEscape(string(c.name)), body: struct{}{},
	})
	if err != nil {
		return 0, err
	}
	if answer.status != http.StatusOK {
		return 0, answer.rejected()
	}
	var given struct {
		Number uint64 `json:"value"`
	}
	err = answer.decode(&given)
	return given.Number, err
}
