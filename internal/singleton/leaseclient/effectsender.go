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

// Outcome is the result of sending an effect. The values are stored.
type Outcome string

// The outcomes of an effect.
const (
	OutcomeSent     Outcome = "sent"    // the request is in flight
	OutcomeAccepted Outcome = "taken"   // the receiver carried it out
	OutcomeRejected Outcome = "refused" // the receiver has accepted a newer one, or this one already
	OutcomeUnknown  Outcome = "unknown" // the receiver may or may not have carried it out
)

// HistoryRecord is a line of a history of effects. Its JSON form is stored.
type HistoryRecord struct {
	singleton.Effect
	At      int64   `json:"at"` // Unix time in nanoseconds
	Outcome Outcome `json:"did"`
}

// SenderHeader is the header of an effect's request with the name of the instance that sent it.
const SenderHeader = "X-From"

const maxReasonBytes = 1 << 10 // of the error message of a receiver

// EffectSender returns a step that sends one effect to the receiver at a URL, under the name of an instance. It writes
// each effect to history twice, as one HistoryRecord per line: before it is sent, and with its outcome.
func EffectSender(receiverURL, instance string, history io.Writer) Step {
	record := func(e singleton.Effect, outcome Outcome) error {
		return json.NewEncoder(history).Encode(HistoryRecord{e, time.Now().UnixNano(), outcome})
	}
	return func(ctx context.Context, perform Perform) error {
		return perform(func(e singleton.Effect) error {
			if err := record(e, OutcomeSent); err != nil {
				return fmt.Errorf("write history: %w", err)
			}
			outcome, err := sendEffect(ctx, receiverURL, instance, e)
			return errors.Join(err, record(e, outcome))
		})
	}
}

// sendEffect sends an effect to its receiver. An outcome other than OutcomeAccepted comes with an error that says why.
func sendEffect(ctx context.Context, receiverURL, instance string, e singleton.Effect) (Outcome, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return OutcomeUnknown, fmt.Errorf("encode effect: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, receiverURL, bytes.NewReader(text))
	if err != nil {
		return OutcomeUnknown, fmt.Errorf("send effect: %w", err)
	}
	req.GetBody = nil // no retry by the transport: a second copy would be rejected and look like a fault of the holder
	req.Header.Set(SenderHeader, instance)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return OutcomeUnknown, fmt.Errorf("send effect: %w", err)
	}
	defer resp.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	outcome := OutcomeUnknown
	switch resp.StatusCode {
	case http.StatusOK:
		return OutcomeAccepted, nil
	case http.StatusConflict:
		outcome = OutcomeRejected
	}
	return outcome, fmt.Errorf("effect %d of token %d: %s: %s", e.Serial, e.Token, resp.Status, bytes.TrimSpace(reason))
}
