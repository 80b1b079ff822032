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

type script func(ev *policy.Event) []policy.Action

func (s script) Handle(_ policy.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	return append(out, s(ev)...)
}

type exchange func(ctx context.Context, server uint32) backend.Result

func (e exchange) Exchange(ctx context.Context, id uint32, _ backend.Attempt) backend.Result {
	return e(ctx, id)
}

// run sends one request with a second to live through a transport.
func run(ctx context.Context, module script, ex exchange) (*http.Response, error) {
	log := slog.New(slog.DiscardHandler)
	t := &Transport{Engine: engine.New(module, engine.Hooks{}, log), Backends: ex, Log: log}
	t.MaxRetryAfter.Store(2_500_000)
	ctx, cancel := context.WithTimeout(WithRequestInfo(ctx, &RequestInfo{}), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "/quote", nil)
	if err != nil {
		return nil, err
	}
	return t.RoundTrip(req)
}

func send(id uint64, server uint32) policy.Action {
	return policy.Action{Kind: policy.SendAttempt, ID: id, Server: server}
}

// sendThen sends to server 1 and answers an outcome that is not final with an action.
func sendThen(a policy.Action) script {
	return func(ev *policy.Event) []policy.Action {
		switch {
		case ev.Kind == policy.RequestArrived:
			return []policy.Action{send(ev.ID, 1)}
		case ev.Kind == policy.AttemptEnded && !ev.Final && ev.Server == 1:
			a.ID = ev.ID
			return []policy.Action{a}
		}
		return nil
	}
}

func TestAnswers(t *testing.T) {
	served := backend.Result{Outcome: policy.OK,
		Response: &backend.Response{Header: http.Header{}, Body: []byte("42")}}
	full := backend.Result{Outcome: policy.Rejected}
	for name, c := range map[string]struct {
		module script
		first  backend.Result
		status int
		body   string
		after  string
	}{
		"served":          {sendThen(policy.Action{}), served, 200, "42", ""},
		"repeated":        {sendThen(send(0, 2)), full, 200, "42", ""},
		"busy":            {sendThen(policy.Action{Kind: policy.RejectRequest, After: 350_000}), full, 503, "busy\n", "0.350"},
		"busy, no span":   {sendThen(policy.Action{Kind: policy.RejectRequest}), full, 503, "busy\n", ""},
		"busy, long span": {sendThen(policy.Action{Kind: policy.RejectRequest, After: 9e6}), full, 503, "busy\n", "2.500"},
		"failed":          {sendThen(policy.Action{Kind: policy.FailRequest}), full, 502, "no destination could answer\n", ""},
	} {
		resp, err := run(t.Context(), c.module, func(_ context.Context, server uint32) backend.Result {
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

// A request that comes with no time left is refused by the module at once; that is its answer, not that its time is up.
func TestTheLastWordGoesFirst(t *testing.T) {
	refuses := script(func(ev *policy.Event) []policy.Action {
		return []policy.Action{{Kind: policy.RejectRequest, ID: ev.ID}}
	})
	late, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	for range 50 {
		if resp, err := run(late, refuses, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v, %v", resp, err)
		}
	}
}

// Steps end before the client's deadline, so that the module's Fail still reaches the client; and a request
// whose module stays silent is answered at the deadline all the same.
func TestDeadlines(t *testing.T) {
	wait := func(ctx context.Context, _ uint32) backend.Result {
		<-ctx.Done()
		return backend.Result{Outcome: policy.TimedOut}
	}
	for name, c := range map[string]struct {
		module script
		status int
		at     time.Duration
	}{
		"failed by the module": {sendThen(policy.Action{Kind: policy.FailRequest}), 502, time.Second - responseMargin},
		"silent module":        {sendThen(policy.Action{}), 504, time.Second},
		"no attempt at all":    {func(*policy.Event) []policy.Action { return nil }, 504, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			resp, err := run(t.Context(), c.module, wait)
			if err != nil || resp.StatusCode != c.status || time.Since(start) != c.at {
				t.Errorf("%s: %v, %v after %v", name, resp, err, time.Since(start))
			}
		})
	}
}

// A client that leaves ends its attempts, as the module says, and each of them still has an outcome.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := 0
		module := script(func(ev *policy.Event) []policy.Action {
			switch ev.Kind {
			case policy.RequestArrived:
				return []policy.Action{send(ev.ID, 1)}
			case policy.RequestAbandoned:
				return []policy.Action{{Kind: policy.CancelAttempt, ID: ev.ID}}
			case policy.AttemptEnded:
				outcomes++
			}
			return nil
		})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		start := time.Now()
		_, err := run(ctx, module, func(ctx context.Context, _ uint32) backend.Result {
			<-ctx.Done()
			return backend.Result{Outcome: policy.Cancelled}
		})
		synctest.Wait()
		if !errors.Is(err, context.Canceled) || outcomes != 1 || time.Since(start) > 200*time.Millisecond {
			t.Errorf("error %v, %d outcomes after %v", err, outcomes, time.Since(start))
		}
	})
}

// An attempt that panics has an outcome; without one its request would stay open until the deadline.
func TestPanickingStepIsAReset(t *testing.T) {
	resp, err := run(t.Context(), sendThen(policy.Action{Kind: policy.FailRequest}),
		func(context.Context, uint32) backend.Result { panic("a fault") })
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v", resp, err)
	}
}

type bodied func(body backend.Body) backend.Result

func (e bodied) Exchange(_ context.Context, _ uint32, a backend.Attempt) backend.Result {
	return e(a.Body)
}

// The module hears when the last byte of a body has come, and until then that it has not: an attempt whose body never ends is not handed.
func TestSlowBodiesAreHandedAtTheirEnd(t *testing.T) {
	for name, whole := range map[string]bool{"whole": true, "broken off": false} {
		synctest.Test(t, func(t *testing.T) {
			var told []policy.EventKind
			module := script(func(ev *policy.Event) []policy.Action {
				told = append(told, ev.Kind)
				if ev.Kind == policy.RequestArrived && ev.BodyPending {
					return []policy.Action{send(ev.ID, 1)}
				}
				return nil
			})
			from, to := io.Pipe()
			in := &RequestInfo{Stream: requestbody.New(from, -1, time.Second)}
			log := slog.New(slog.DiscardHandler)
			tr := &Transport{Engine: engine.New(module, engine.Hooks{}, log), Log: log, Backends: bodied(func(body backend.Body) backend.Result {
				if _, err := io.Copy(io.Discard, body.Stream); err != nil {
					return backend.Result{Outcome: policy.ConnectFailed}
				}
				time.Sleep(time.Millisecond) // the destination works
				return backend.Result{Outcome: policy.OK, Response: &backend.Response{Header: http.Header{}}}
			})}
			ctx, leave := context.WithCancel(WithRequestInfo(t.Context(), in))
			defer leave()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/quote", nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = tr.RoundTrip(req)
			}()
			time.Sleep(10 * time.Second) // far longer than any answer takes
			if synctest.Wait(); len(told) != 1 {
				t.Errorf("%s: while the body comes: %v", name, told)
			}
			want := []policy.EventKind{policy.RequestArrived, policy.BodySent, policy.AttemptEnded}
			if whole {
				to.Close()
			} else {
				to.CloseWithError(io.ErrUnexpectedEOF)
				leave()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if whole && !slices.Equal(told, want) || !whole && slices.Contains(told, policy.BodySent) {
				t.Errorf("%s: the module was told %v, want %v", name, told, want)
			}
		})
	}
}
