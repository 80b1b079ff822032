// Package discovery reads the platform's list of backends.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Limits of a call to the platform.
const (
	callTimeout = 900 * time.Millisecond
	maxPage     = 8 << 20
	maxPages    = 200
)

// Table is the list of backends as it was read at one moment.
type Table struct {
	Backends []message.Backend
	Digest   uint64
	Observed time.Time // when the reading began
}

// IsKnown reports whether the table was ever read.
func (t *Table) IsKnown() bool { return t != nil && !t.Observed.IsZero() }

// Reader reads the list over HTTP.
type Reader struct {
	address string
	client  *http.Client
}

// NewReader makes a reader of the list at address.
func NewReader(address string) *Reader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Reader{address: address, client: &http.Client{Transport: transport}}
}

type page struct {
	Backends *[]entry `json:"backends"`
	NextPage *string  `json:"nextPage"`
}

type entry struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Capacity   int     `json:"capacity"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"coldLeftMs"`
	TimeLeftMS float64 `json:"timeLeftMs"`
	Models     []struct {
		Name     string   `json:"name"`
		Adapters []string `json:"adapters"`
	} `json:"models"`
}

// Read reads all pages. A list that breaks off or that cannot be understood is an error: the caller keeps the old one.
func (r *Reader) Read(ctx context.Context) (*Table, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	table := &Table{Observed: time.Now()}
	token := ""
	for count := 0; count < maxPages; count++ {
		next, err := r.readPage(ctx, token, table)
		if err != nil {
			return nil, err
		}
		if next == "" {
			table.SetDigest()
			return table, nil
		}
		token = next
	}
	return nil, errors.New("the list does not end")
}

func (r *Reader) readPage(ctx context.Context, token string, table *Table) (next string, err error) {
	address := "http://" + r.address + "/backends"
	if token != "" {
		address += "?page=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return "", errors.Wrap(err, "asking for the list")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "", errors.Wrap(err, "asking for the list")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPage))
	if err != nil {
		return "", errors.Wrap(err, "reading the list")
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("the list: status %d", response.StatusCode)
	}
	read, err := parsePage(text)
	if err != nil {
		return "", err
	}
	for _, e := range *read.Backends {
		table.Backends = append(table.Backends, e.backend())
	}
	if read.NextPage == nil {
		return "", nil
	}
	return *read.NextPage, nil
}

// parsePage reads one page and names the first entry that lacks what every entry must have.
func parsePage(text []byte) (*page, error) {
	var read page
	if err := json.Unmarshal(text, &read); err != nil {
		return nil, errors.Wrap(err, "the list is no whole JSON")
	}
	if read.Backends == nil {
		return nil, errors.New("the list has no backends")
	}
	for i, e := range *read.Backends {
		if e.ID == "" || e.Service == "" || e.Address == "" {
			return nil, errors.Errorf("backends[%d]: id, service and address must be given", i)
		}
	}
	return &read, nil
}

func (e *entry) backend() message.Backend {
	backend := message.Backend{
		ID: message.BackendID(e.ID), Service: e.Service, Address: e.Address, Zone: e.Zone, Capacity: e.Capacity,
		Draining: e.State == "draining", WarmUpLeftMs: int(e.ColdLeftMS), TimeLeftMs: int(e.TimeLeftMS),
	}
	for _, model := range e.Models {
		backend.Models = append(backend.Models, message.LoadedModel{Name: message.ModelName(model.Name), Adapters: model.Adapters})
	}
	return backend
}
