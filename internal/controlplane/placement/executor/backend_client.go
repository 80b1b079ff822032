package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/jsonbound"
	"pumiceline/internal/message"
	"pumiceline/internal/socket"
)

const (
	// CommandTimeout bounds one command. The lease must last longer than that after the command is sent, so that no
	// command is in progress after the lease.
	CommandTimeout   = 500 * time.Millisecond
	reportTimeout    = 700 * time.Millisecond
	reportIdleTime   = 3 * time.Second // how long an idle connection for reports is kept
	maxResponseBytes = 4 << 20
	maxReportValues  = 1 << 15  // JSON values
	maxReportsBytes  = 16 << 20 // of all reports that are read at the same time
)

// The paths and the header of a backend's control interface.
const (
	reportPath    = "/report"
	commandPath   = "/order"
	backendHeader = "Target-Backend"
)

// Report is a backend's own report of its state. It may be some hundred milliseconds old.
type Report struct {
	Models       []message.LoadedModel
	IsExecuting  bool   // a command is in progress
	CommandCount uint64 // commands accepted since the backend started
}

// Operation is the operation of a command.
type Operation string

// The operations, as sent to backends.
const (
	LoadModel   Operation = "model_load"
	UnloadModel Operation = "model_unload"
)

// Command asks a backend to load or unload a model, or an adapter of one.
type Command struct {
	Operation Operation         `json:"operation"`
	Model     message.ModelName `json:"model"`
	Adapter   string            `json:"adapter,omitempty"`
	// IfRevision is the command count that the command requires: with any other count the backend answers Conflict.
	// It is a pointer to distinguish 0, the count of a backend that has just started, from no condition.
	IfRevision   *uint64              `json:"ifRevision,omitempty"`
	Owner        string               `json:"owner"`
	FencingToken message.FencingToken `json:"fenceNo"`
}

// Answer is how a backend answered a command.
type Answer int

// The answers to commands.
const (
	Accepted   Answer = iota // the backend has begun to carry it out
	AlreadyMet               // the backend is already in the requested state
	Conflict                 // another command is in progress, or the command count differs
	Rejected                 // it will not be carried out
	Unknown                  // there was no answer; the backend may have accepted it
)

// String returns the name of the answer for logs.
func (a Answer) String() string {
	switch a {
	case Accepted:
		return "accepted"
	case AlreadyMet:
		return "already met"
	case Conflict:
		return "conflict"
	case Rejected:
		return "rejected"
	case Unknown:
		return "unknown"
	}
	return strconv.Itoa(int(a))
}

// BackendClient calls the control interface of backends. It is safe for concurrent use.
//
// The reports of a backend share one connection, which is kept for reportIdleTime. Each command has a connection of
// its own. Responses carry no ID: on a shared connection, a late response to an earlier request would be taken for
// the response to the command.
type BackendClient struct {
	reports, commands *http.Client
	reportsInFlight   *bodybudget.Budget
}

// NewBackendClient makes a client without connections.
func NewBackendClient() *BackendClient {
	dial := socket.NewDialer().DialContext
	return &BackendClient{
		reportsInFlight: bodybudget.New(maxReportsBytes),
		reports: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTime, DisableCompression: true,
		}},
		commands: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}},
	}
}

// FetchReport requests a backend's report.
func (c *BackendClient) FetchReport(ctx context.Context, backend message.Backend) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, backend, reportPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request report")
	}
	response, err := c.reports.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "request report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("report with status %d", response.StatusCode)
	}
	body := c.reportsInFlight.Reader(io.LimitReader(response.Body, maxResponseBytes))
	defer body.Release()
	text, err := io.ReadAll(body)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	if err := jsonbound.NewAllowance(maxReportValues).Take(text); err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	return parseReport(text)
}

func parseReport(text []byte) (*Report, error) {
	var document struct {
		Models *[]struct {
			Name     message.ModelName `json:"name"`
			Adapters []string          `json:"adapters"`
		} `json:"models"`
		InUse     bool   `json:"inUse"`
		CallCount uint64 `json:"callCount"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, errors.Wrap(err, "report is not valid JSON")
	}
	if document.Models == nil {
		return nil, errors.New("report without models")
	}
	report := &Report{IsExecuting: document.InUse, CommandCount: document.CallCount}
	for _, model := range *document.Models {
		report.Models = append(report.Models, message.LoadedModel{Name: model.Name, Adapters: model.Adapters})
	}
	return report, nil
}

// SendCommand sends a command once: neither it nor the HTTP library repeats it.
func (c *BackendClient) SendCommand(ctx context.Context, backend message.Backend, command Command) Answer {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	text, err := json.Marshal(command)
	if err != nil {
		return Rejected
	}
	request, err := newRequest(ctx, http.MethodPost, backend, commandPath, bytes.NewReader(text))
	if err != nil {
		return Rejected
	}
	request.GetBody = nil // without GetBody the transport cannot send the request again
	request.Header.Set("Content-Type", "application/json")
	response, err := c.commands.Do(request)
	if err != nil {
		return Unknown
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)) // only the status counts
	switch response.StatusCode {
	case http.StatusAccepted:
		return Accepted
	case http.StatusOK:
		return AlreadyMet
	case http.StatusConflict:
		return Conflict
	}
	return Rejected
}

func newRequest(
	ctx context.Context, method string, backend message.Backend, path string, body io.Reader,
) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+backend.Address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(backendHeader, string(backend.ID))
	return request, nil
}
