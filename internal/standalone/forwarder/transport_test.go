package forwarder

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

type policyFunc func(ev *policy.Event) []policy.Action

func (f policyFunc) Handle(_ policy.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	return append(out, f(ev)...)
}

type exchangerFunc func(ctx context.Context, server uint32) backend.Result

func (e exchangerFunc) Exchange(ctx context.Context, id uint32, _ backend.Attempt) backend.Result {
	return e(ctx, id)
}

// roundTrip sends one request with a time-out of a second through a transport.
func roundTrip(ctx context.Context, decide policyFunc, ex exchangerFunc) (*http.Response, error) {
	log := slog.New(slog.DiscardHandler)
	t := &Transport{Engine: engine.New(decide, engine.Hooks{}, log), Backends: ex, Log: log}
	t.MaxRetryAfter.Store(2_500_000)
	ctx, cancel := context.WithTimeout(WithRequestInfo(ctx, &RequestInfo{}), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "/quote", nil)
	if err != nil {
		return nil, err
	}
	return t.RoundTrip(req)
}

func sendAttempt(id uint64, server uint32) policy.Action {
	return policy.Action{Kind: policy.SendAttempt, ID: id, Server: server}
}

// sendThenOnFailure returns a policy that sends to backend 1, and answers an outcome that is not final with a.
func sendThenOnFailure(a policy.Action) policyFunc {
	return func(ev *policy.Event) []policy.Action {
		switch {
		case ev.Kind == policy.RequestArrived:
			return []policy.Action{sendAttempt(ev.ID, 1)}
		case ev.Kind == policy.AttemptEnded && !ev.Final && ev.Server == 1:
			a.ID = ev.ID
			return []policy.Action{a}
		}
		return nil
	}
}

func TestTransport_Responses(t *testing.T) {
	served := backend.Result{Outcome: policy.OK,
		Response: &backend.Response{Header: http.Header{}, Body: []byte("42")}}
	rejected := backend.Result{Outcome: policy.Rejected}
	for name, c := range map[string]struct {
		decide policyFunc
		first  backend.Result
		status int
		body   string
		after  string
	}{
		"served":                     {sendThenOnFailure(policy.Action{}), served, 200, "42", ""},
		"retried":                    {sendThenOnFailure(sendAttempt(0, 2)), rejected, 200, "42", ""},
		"rejected":                   {sendThenOnFailure(policy.Action{Kind: policy.RejectRequest, After: 350_000}), rejected, 503, "busy\n", "0.350"},
		"rejected, no Retry-After":   {sendThenOnFailure(policy.Action{Kind: policy.RejectRequest}), rejected, 503, "busy\n", ""},
		"rejected, long Retry-After": {sendThenOnFailure(policy.Action{Kind: policy.RejectRequest, After: 9e6}), rejected, 503, "busy\n", "2.500"},
		"failed":                     {sendThenOnFailure(policy.Action{Kind: policy.FailRequest}), rejected, 502, "no destination could answer\n", ""},
	} {
		resp, err := roundTrip(t.Context(), c.decide, func(_ context.Context, server uint32) backend.Result {
			if server == 1 {
				return c.first
			}
			return served
		})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != c.status || string(body) != c.body || resp.Header.Get("Retry-After") != c.after {
			t.Errorf("%s: %d %q, Retry-After %q", name, resp.StatusCode, body, resp.Header.Get("Retry-After"))
		}
	}
}

// The policy rejects a request that arrives with no time left at once. The response must be that rejection (503), not a
// time-out (504).
func TestTransport_RejectionPrecedesExpiredDeadline(t *testing.T) {
	rejects := policyFunc(func(ev *policy.Event) []policy.Action {
		return []policy.Action{{Kind: policy.RejectRequest, ID: ev.ID}}
	})
	late, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	for range 50 {
		if resp, err := roundTrip(late, rejects, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v, %v", resp, err)
		}
	}
}

// Attempts end before the client's deadline, so that the policy's failure response still reaches the client. A request
// that the policy leaves undecided gets a 504 at the deadline.
func TestTransport_Deadlines(t *testing.T) {
	wait := func(ctx context.Context, _ uint32) backend.Result {
		<-ctx.Done()
		return backend.Result{Outcome: policy.TimedOut}
	}
	for name, c := range map[string]struct {
		decide policyFunc
		status int
		at     time.Duration
	}{
		"failed by the policy": {sendThenOnFailure(policy.Action{Kind: policy.FailRequest}), 502, time.Second - responseMargin},
		"undecided":            {sendThenOnFailure(policy.Action{}), 504, time.Second},
		"no attempt at all":    {func(*policy.Event) []policy.Action { return nil }, 504, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			resp, err := roundTrip(t.Context(), c.decide, wait)
			if err != nil || resp.StatusCode != c.status || time.Since(start) != c.at {
				t.Errorf("%s: %v, %v after %v", name, resp, err, time.Since(start))
			}
		})
	}
}

// When the client disconnects, the attempts that the policy cancels end, and each of them still reports an outcome.
func TestTransport_DisconnectCancelsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := 0
		decide := policyFunc(func(ev *policy.Event) []policy.Action {
			switch ev.Kind {
			case policy.RequestArrived:
				return []policy.Action{sendAttempt(ev.ID, 1)}
			case policy.RequestAbandoned:
				return []policy.Action{{Kind: policy.CancelAttempt, ID: ev.ID}}
			case policy.AttemptEnded:
				outcomes++
			}
			return nil
		})
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, disconnect)
		start := time.Now()
		_, err := roundTrip(ctx, decide, func(ctx context.Context, _ uint32) backend.Result {
			<-ctx.Done()
			return backend.Result{Outcome: policy.Canceled}
		})
		synctest.Wait()
		if !errors.Is(err, context.Canceled) || outcomes != 1 || time.Since(start) > 200*time.Millisecond {
			t.Errorf("error %v, %d outcomes after %v", err, outcomes, time.Since(start))
		}
	})
}

// An attempt that panics reports an outcome. Without one its request would stay open until the deadline.
func TestTransport_PanickingAttemptHasOutcome(t *testing.T) {
	resp, err := roundTrip(t.Context(), sendThenOnFailure(policy.Action{Kind: policy.FailRequest}),
		func(context.Context, uint32) backend.Result { panic("test panic") })
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v", resp, err)
	}
}

type bodyExchanger func(body backend.Body) backend.Result

func (e bodyExchanger) Exchange(_ context.Context, _ uint32, a backend.Attempt) backend.Result {
	return e(a.Body)
}

// The policy gets BodySent when the last byte of a streamed body has been sent. It does not get it if the body breaks
// off.
func TestTransport_ReportsBodySentAtEndOfStream(t *testing.T) {
	for name, isComplete := range map[string]bool{"complete": true, "broken off": false} {
		synctest.Test(t, func(t *testing.T) {
			var events []policy.EventKind
			decide := policyFunc(func(ev *policy.Event) []policy.Action {
				events = append(events, ev.Kind)
				if ev.Kind == policy.RequestArrived && ev.BodyPending {
					return []policy.Action{sendAttempt(ev.ID, 1)}
				}
				return nil
			})
			from, to := io.Pipe()
			in := &RequestInfo{Stream: requestbody.New(from, -1, time.Second)}
			log := slog.New(slog.DiscardHandler)
			tr := &Transport{Engine: engine.New(decide, engine.Hooks{}, log), Log: log}
			tr.Backends = bodyExchanger(func(body backend.Body) backend.Result {
				if _, err := io.Copy(io.Discard, body.Stream); err != nil {
					return backend.Result{Outcome: policy.ConnectFailed}
				}
				time.Sleep(time.Millisecond) // the backend executes the request
				return backend.Result{Outcome: policy.OK, Response: &backend.Response{Header: http.Header{}}}
			})
			ctx, disconnect := context.WithCancel(WithRequestInfo(t.Context(), in))
			defer disconnect()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/quote", nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = tr.RoundTrip(req)
			}()
			time.Sleep(10 * time.Second) // far longer than any response takes
			if synctest.Wait(); len(events) != 1 {
				t.Errorf("%s: events while the body is being sent: %v", name, events)
			}
			want := []policy.EventKind{policy.RequestArrived, policy.BodySent, policy.AttemptEnded}
			if isComplete {
				to.Close()
			} else {
				to.CloseWithError(io.ErrUnexpectedEOF)
				disconnect()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if isComplete && !slices.Equal(events, want) || !isComplete && slices.Contains(events, policy.BodySent) {
				t.Errorf("%s: the policy got %v, want %v", name, events, want)
			}
		})
	}
}
