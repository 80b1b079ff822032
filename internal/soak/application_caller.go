package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"pumiceline/internal/ctxtime"
)

// Times of the calls of applications.
const (
	applicationTimeout = time.Second // timeout of one call; the next call goes to another coordinator
	applicationBackoff = 40 * time.Millisecond
	watchWait          = 2 * time.Second
)

// applicationBody is the body of a call. Unset fields are omitted.
type applicationBody struct {
	Owner      Owner   `json:"owner,omitempty"`
	FenceNo    *uint64 `json:"fenceNo,omitempty"`
	HoldMs     int64   `json:"holdMs,omitempty"`
	Value      string  `json:"value,omitempty"`
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// applicationAnswer is the body of an answer. Value is a string for keys and a number for numbers.
type applicationAnswer struct {
	FenceNo  uint64          `json:"fenceNo"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"revision"`
	Events   []KeyEvent      `json:"events"`
}

// answer is the outcome of a call.
type answer struct {
	sentAt  Moment
	endedAt Moment
	status  int // 0: no answer came
	body    applicationAnswer
}

// isClear reports whether the answer is final. After a 5xx, a 429 or no answer the caller tries another coordinator.
func (a answer) isClear() bool {
	return a.status != 0 && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests
}

// applicationCaller makes the calls of one application. After a call without a clear answer it uses the next
// coordinator.
type applicationCaller struct {
	coordinators     *coordinatorList
	recorder         *recorder
	http             *http.Client
	random           *rand.Rand // used by the application's goroutine only
	coordinatorIndex int        // index of the coordinator in use, modulo their number
}

func newApplicationCaller(coordinators *coordinatorList, r *recorder, seed, number uint64) *applicationCaller {
	return &applicationCaller{coordinators: coordinators, recorder: r, http: &http.Client{Transport: &http.Transport{}},
		random: rand.New(rand.NewPCG(seed, number)), coordinatorIndex: int(number)}
}

// call makes one call to the coordinator in use. Without a clear answer it selects the next coordinator.
func (c *applicationCaller) call(ctx context.Context, method, path string, body applicationBody) answer {
	return c.callWithin(ctx, applicationTimeout, method, path, body)
}

func (c *applicationCaller) callWithin(ctx context.Context, timeout time.Duration, method, path string,
	body applicationBody) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	coordinator := c.coordinators.at(c.coordinatorIndex)
	result := answer{sentAt: c.recorder.now()}
	status, text, err := c.exchange(ctx, method, "http://"+coordinator.ControlAddress()+path, body)
	if err == nil {
		err = json.Unmarshal(text, &result.body)
	}
	if err == nil || status >= http.StatusBadRequest { // the body of a failure need not be JSON
		result.status = status
	}
	result.endedAt = c.recorder.now()
	if result.status == 0 && ctx.Err() == nil {
		cut := CutCall{Node: coordinator.Name, Path: path, SentAt: result.sentAt, EndedAt: result.endedAt}
		c.record(func(h *ApplicationHistory) { h.Cuts = append(h.Cuts, cut) })
	}
	if !result.isClear() {
		c.useNextCoordinator()
	}
	return result
}

// useNextCoordinator selects the next coordinator for the next call.
func (c *applicationCaller) useNextCoordinator() { c.coordinatorIndex++ }

func (c *applicationCaller) exchange(ctx context.Context, method, url string, body applicationBody) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, read, err
}

// pause waits for a random time in [from, to).
func (c *applicationCaller) pause(ctx context.Context, from, to time.Duration) {
	_ = ctxtime.Sleep(ctx, from+time.Duration(c.random.Int64N(int64(to-from)))) // loops end with ctx
}

// oneIn returns true with a probability of 1/times.
func (c *applicationCaller) oneIn(times int) bool { return c.random.IntN(times) == 0 }

// record edits the applications' history.
func (c *applicationCaller) record(change func(h *ApplicationHistory)) {
	c.recorder.edit(func(h *History) { change(&h.Applications) })
}

// randomName returns the prefix with a random number below count.
func (c *applicationCaller) randomName(prefix string, count int) string {
	return fmt.Sprintf("%s%d", prefix, c.random.IntN(count))
}
