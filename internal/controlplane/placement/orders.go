package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Times of calls to backends. An order has an absolute end: the lease must last beyond it.
const (
	OrderTimeout  = 500 * time.Millisecond
	reportTimeout = 700 * time.Millisecond
	maxReport     = 4 << 20
)

// Report is what a backend tells of itself; it is some hundred milliseconds old.
type Report struct {
	Models []message.LoadedModel
	InUse  bool // an order is under way
	Orders uint64
}

// Answer is how a backend took an order.
type Answer int

// The answers to orders.
const (
	Taken    Answer = iota // it has begun
	Held                   // it already holds
	Conflict               // another order is under way, or the count of orders does not match
	Refused                // it will not be carried out
	Unknown                // it may have been taken
)

// Order is one order to a backend.
type Order struct {
	Operation  string               `json:"operation"`
	Model      message.ModelName    `json:"model"`
	Adapter    string               `json:"adapter,omitempty"`
	IfRevision *uint64              `json:"ifRevision,omitempty"`
	Owner      string               `json:"owner"`
	Fence      message.FencingToken `json:"fenceNo"`
}

// The operations of orders.
const (
	Load   = "model_load"
	Unload = "model_unload"
)

// Caller makes calls to backends. Reports share a connection a backend, which is kept for a moment. Each order has one of
// its own: its answer carries no id, so a late one to an earlier call could not be told from it.
type Caller struct{ reports, orders *http.Client }

// NewCaller makes a caller.
func NewCaller() *Caller {
	return &Caller{
		reports: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
		}},
		orders: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// Report asks a backend for what it holds.
func (c *Caller) Report(ctx context.Context, target message.Backend) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+"/report", nil)
	if err != nil {
		return nil, errors.Wrap(err, "asking for a report")
	}
	request.Header.Set("Target-Backend", string(target.ID))
	response, err := c.reports.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "asking for a report")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return nil, errors.Wrap(err, "reading a report")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("a report with status %d", response.StatusCode)
	}
	return parseReport(text)
}

func parseReport(text []byte) (*Report, error) {
	var read struct {
		Models *[]struct {
			Name     string   `json:"name"`
			Adapters []string `json:"adapters"`
		} `json:"models"`
		InUse     bool   `json:"inUse"`
		CallCount uint64 `json:"callCount"`
	}
	if err := json.Unmarshal(text, &read); err != nil {
		return nil, errors.Wrap(err, "a report that is no whole JSON")
	}
	if read.Models == nil {
		return nil, errors.New("a report without models")
	}
	report := &Report{InUse: read.InUse, Orders: read.CallCount}
	for _, model := range *read.Models {
		report.Models = append(report.Models, message.LoadedModel{Name: message.ModelName(model.Name), Adapters: model.Adapters})
	}
	return report, nil
}

// Order gives one order. It is written once.
func (c *Caller) Order(ctx context.Context, target message.Backend, order Order) Answer {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	text, err := json.Marshal(order)
	if err != nil {
		return Refused
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/order", bytes.NewReader(text))
	if err != nil {
		return Refused
	}
	request.GetBody = nil // so that the transport cannot send it again
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Target-Backend", string(target.ID))
	response, err := c.orders.Do(request)
	if err != nil {
		return Unknown
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReport)) // only the status counts
	switch response.StatusCode {
	case http.StatusAccepted:
		return Taken
	case http.StatusOK:
		return Held
	case http.StatusConflict:
		return Conflict
	}
	return Refused
}
