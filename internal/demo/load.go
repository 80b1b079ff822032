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

const (
	requestInterval = 20 * time.Millisecond
	requestTimeout  = 10 * time.Second
	eventsPerStream = 8

	rareModel         = "rare" // not loaded on any backend at the start
	rareModelInterval = 23     // a stream whose number is a multiple of this uses rareModel
	documentInterval  = 3      // a request whose number is a multiple of this is a document
)

// streamModels are the models that streams use, in turn; small/a1 is an adapter.
var streamModels = []string{"small", "large", "small/a1"}

// load sends requests to the proxies in turn and counts them by their result.
type load struct {
	demo *demo

	mu        sync.Mutex
	streams   RequestCounts
	documents RequestCounts
	sent      []sentRequest
}

// sentRequest identifies a request whose executions are counted at the end.
type sentRequest struct {
	id       string
	isStream bool
}

func newLoad(d *demo) *load { return &load{demo: d} }

// run sends requests until the deadline and waits for the last response.
func (l *load) run(ctx context.Context, deadline time.Time) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	for number := 0; time.Now().Before(deadline) && ctx.Err() == nil; number++ {
		<-ticker.C
		inFlight.Go(func() { l.sendNumbered(ctx, number) })
	}
	inFlight.Wait()
}

// sendNumbered sends the request with a number. Two of three requests are streams; the third is a document. A stream
// whose number is a multiple of rareModelInterval uses the rare model.
func (l *load) sendNumbered(ctx context.Context, number int) {
	isStream := number%documentInterval != 0
	id := fmt.Sprintf("r%d", number)
	proxy := l.demo.nodes[coordinatorCount+number%proxyCount]
	path, model := "/document/a", ""
	if isStream {
		path, model = "/stream/a", streamModels[number/documentInterval%len(streamModels)]
		if number%rareModelInterval == 0 {
			model = rareModel
		}
	}
	l.mu.Lock()
	l.sent = append(l.sent, sentRequest{id, isStream})
	l.mu.Unlock()
	response, err := l.send(ctx, "http://"+proxy.clientAddress()+path, id, model)
	l.count(isStream, response, err)
}

// response is the response of a proxy.
type response struct {
	status int
	body   string
}

func (l *load) send(ctx context.Context, url, id, model string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("text"))
	if err != nil {
		return response{}, err
	}
	request.Host = requestHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Time-Left-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if model != "" {
		request.Header.Set("Model", model)
		request.Header.Set("Token-Count", "300,40")
	}
	got, err := l.demo.client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return response{got.StatusCode, string(body)}, err
}

func (l *load) count(isStream bool, r response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := &l.documents
	isComplete := strings.HasPrefix(r.body, "done by ")
	if isStream {
		counts = &l.streams
		isComplete = strings.Count(r.body, "data: ") == eventsPerStream
	}
	switch {
	case err != nil:
		counts.Failed++
	case r.status == http.StatusOK && !isComplete:
		counts.Incomplete++
	case r.status == http.StatusOK:
		counts.Served++
	case r.status == http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// counts returns the number of requests by result, and how many ran more than once. Call it once, after run: a second
// call would add the duplicates again.
func (l *load) counts() (streams, documents RequestCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.sent {
		if l.demo.executions.Count(sent.id) <= 1 {
			continue
		}
		if sent.isStream {
			l.streams.Duplicated++
		} else {
			l.documents.Duplicated++
		}
	}
	return l.streams, l.documents
}
