package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/jsonbound"
	"pumiceline/internal/message"
	"pumiceline/internal/socket"
)

// Limits of one read of the list, for all its pages together.
const (
	maxListBytes  = 8 << 20
	maxListValues = 1 << 18 // JSON values
	maxPages      = 200
)

// errListTooLarge is returned for a list beyond maxListBytes.
var errListTooLarge = errors.Errorf("the list has more than %d bytes", maxListBytes)

const idleConnTimeout = 30 * time.Second

// stateDraining is the state of a backend that takes no new requests.
const stateDraining = "draining"

// Reader reads the list from the platform. It is safe for concurrent use.
type Reader struct {
	address string
	timeout time.Duration
	client  *http.Client
}

// NewReader makes a reader of the list at a host and port. timeout bounds a read of all pages together.
func NewReader(address string, timeout time.Duration) *Reader {
	transport := &http.Transport{
		DialContext: socket.NewDialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
	return &Reader{address: address, timeout: timeout, client: &http.Client{Transport: transport}}
}

// page is one page of the list. The fields are pointers, to distinguish a missing key from an empty value.
type page struct {
	Backends *[]pageEntry `json:"backends"`
	NextPage *string      `json:"nextPage"` // null: this is the last
}

type pageEntry struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Capacity     int     `json:"capacity"`
	State        string  `json:"state"`
	WarmUpLeftMs float64 `json:"coldLeftMs"`
	TimeLeftMs   float64 `json:"timeLeftMs"`
	Models       []struct {
		Name     string   `json:"name"`
		Adapters []string `json:"adapters"`
	} `json:"models"`
}

// Read reads all pages. An incomplete or malformed list is an error, and the caller keeps the list that it has.
func (r *Reader) Read(ctx context.Context) (*BackendList, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	list := &BackendList{ObservedAt: time.Now()}
	token := ""
	limits := &listLimits{bytes: maxListBytes, values: jsonbound.NewAllowance(maxListValues)}
	for range maxPages {
		next, err := r.readPage(ctx, token, limits)
		if err != nil {
			return nil, err
		}
		list.Pages++
		for _, entry := range *next.Backends {
			list.Backends = append(list.Backends, entry.backend())
		}
		if next.NextPage == nil || *next.NextPage == "" {
			list.SetDigest()
			return list, nil
		}
		token = *next.NextPage
	}
	return nil, errors.Errorf("the list has more than %d pages", maxPages)
}

// listLimits is what the pages of a list that are still to be read may have.
type listLimits struct {
	bytes  int
	values *jsonbound.Allowance
}

// readPage requests one page. token is the NextPage of the page before it; the first page has an empty token.
func (r *Reader) readPage(ctx context.Context, token string, limits *listLimits) (*page, error) {
	address := "http://" + r.address + "/backends"
	if token != "" {
		address += "?page=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request a page of the list")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "request a page of the list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("request a page of the list: status %d", response.StatusCode)
	}
	body, err := limits.read(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read a page of the list")
	}
	return parsePage(body)
}

// read reads a page within the limits.
func (l *listLimits) read(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, int64(l.bytes)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > l.bytes {
		return nil, errListTooLarge
	}
	l.bytes -= len(text)
	return text, l.values.Take(text)
}

// parsePage decodes a page. The error names the first entry without an ID, a service or an address.
func parsePage(body []byte) (*page, error) {
	var decoded page
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, errors.Wrap(err, "the list is not valid JSON")
	}
	if decoded.Backends == nil {
		return nil, errors.New("the list has no backends")
	}
	for i, entry := range *decoded.Backends {
		if entry.ID == "" || entry.Service == "" || entry.Address == "" {
			return nil, errors.Errorf("backends[%d]: id, service and address must be given", i)
		}
	}
	return &decoded, nil
}

func (e *pageEntry) backend() message.Backend {
	backend := message.Backend{
		ID: message.BackendID(e.ID), Service: e.Service, Address: e.Address, Zone: e.Zone, Capacity: e.Capacity,
		Draining: e.State == stateDraining, WarmUpLeftMs: int(e.WarmUpLeftMs), TimeLeftMs: int(e.TimeLeftMs),
	}
	for _, model := range e.Models {
		backend.Models = append(backend.Models, message.LoadedModel{
			Name: message.ModelName(model.Name), Adapters: model.Adapters,
		})
	}
	return backend
}
