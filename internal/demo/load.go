package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the load.
const (
	requestEvery = 20 * time.Millisecond
	patience     = 10 * time.Second
	events       = 8
)

// load sends requests to the proxies in turn.
type load struct {
	trial    *trial
	mutex    sync.Mutex
	streams  Count
	changing Count
	sent     []sentRequest
}

type sentRequest struct {
	id     string
	stream bool
}

func newLoad(t *trial) *load { return &load{trial: t} }

// run sends until the time is over, and waits for the last answer.
func (l *load) run(ctx context.Context, until time.Time) {
	ticker := time.NewTicker(requestEvery)
	defer ticker.Stop()
	var under sync.WaitGroup
	for number := 0; time.Now().Before(until) && ctx.Err() == nil; number++ {
		<-ticker.C
		under.Go(func() { l.request(ctx, number) })
	}
	under.Wait()
}

// request sends one request: two streams to one document, and now and then for the model that nobody holds at first.
func (l *load) request(ctx context.Context, number int) {
	stream := number%3 != 0
	id := fmt.Sprintf("r%d", number)
	machine := l.trial.machines[coordinators+number%proxies]
	path, model := "/document/a", ""
	if stream {
		path, model = "/stream/a", []string{"small", "large", "small/a1"}[number/3%3]
		if number%23 == 0 {
			model = "rare"
		}
	}
	l.mutex.Lock()
	l.sent = append(l.sent, sentRequest{id, stream})
	l.mutex.Unlock()
	status, body, err := l.send(ctx, "http://"+machine.front()+path, id, model)
	l.note(stream, status, body, err)
}

func (l *load) send(ctx context.Context, address, id, model string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader("text"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "trial.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Time-Left-Ms", fmt.Sprint(patience.Milliseconds()))
	if model != "" {
		request.Header.Set("Model", model)
		request.Header.Set("Token-Count", "300,40")
	}
	response, err := l.trial.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func (l *load) note(stream bool, status int, body string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := &l.changing
	whole := strings.HasPrefix(body, "done by ")
	if stream {
		count = &l.streams
		whole = strings.Count(body, "data: ") == events
	}
	switch {
	case err != nil:
		count.Failed++
	case status == http.StatusOK && !whole:
		count.Broken++
	case status == http.StatusOK:
		count.Served++
	case status == http.StatusServiceUnavailable:
		count.Refused++
	default:
		count.Failed++
	}
}

// counts returns what became of the requests, those that ran twice among them.
func (l *load) counts() (streams, changing Count) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, sent := range l.sent {
		if l.trial.runs.Count(sent.id) <= 1 {
			continue
		}
		if sent.stream {
			l.streams.Twice++
		} else {
			l.changing.Twice++
		}
	}
	return l.streams, l.changing
}
