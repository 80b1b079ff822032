package coordinationclient

import (
	"context"
	"net/http"
	"net/url"

	"pumiceline/internal/message"
)

// Counter issues numbers that never repeat. It is safe for concurrent use.
type Counter struct {
	client *Client
	name   message.KeyName
}

// NewCounter returns the counter of a name.
func (c *Client) NewCounter(name message.KeyName) *Counter { return &Counter{client: c, name: name} }

// Next returns a number that is larger than all numbers issued under the name before the call. Numbers may be skipped.
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
	var body struct {
		Number uint64 `json:"value"`
	}
	err = answer.decode(&body)
	return body.Number, err
}
