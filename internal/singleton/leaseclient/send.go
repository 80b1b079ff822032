package leaseclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pumiceline/internal/singleton"
)

// Told is a line of a history: when an effect was sent, or what came of it.
type Told struct {
	singleton.Effect
	At  int64  `json:"at"`  // Unix time in nanoseconds
	Did string `json:"did"` // sent, taken, refused, unknown
}

// Sender is the work of sending effects to a receiver: a step is one effect. What was sent and what came of it is written to history as Told, a
// line each.
func Sender(receiver, from string, history io.Writer) Step {
	return func(ctx context.Context, act Act) error {
		return act(func(e singleton.Effect) error {
			if err := json.NewEncoder(history).Encode(Told{e, time.Now().UnixNano(), "sent"}); err != nil {
				return fmt.Errorf("owner: %w", err)
			}
			did, err := send(ctx, receiver, from, e)
			return errors.Join(err, json.NewEncoder(history).Encode(Told{e, time.Now().UnixNano(), did}))
		})
	}
}

// send sends an effect to its receiver and says what came of it. An error says that it may not have come, or why it does not count.
func send(ctx context.Context, receiver, from string, e singleton.Effect) (did string, err error) {
	text, err := json.Marshal(e)
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, receiver, bytes.NewReader(text))
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	req.GetBody = nil // written once: a second copy would not count, but it would look like a fault of the work
	req.Header.Set("X-From", from)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	defer resp.Body.Close()
	why, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	switch resp.StatusCode {
	case http.StatusOK:
		return "taken", nil
	case http.StatusConflict:
		did = "refused"
	default:
		did = "unknown"
	}
	return did, fmt.Errorf("owner: effect %d of token %d: %s: %s", e.Serial, e.Token, resp.Status, bytes.TrimSpace(why))
}
