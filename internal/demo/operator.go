package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/ctxtime"
)

// Names of the services in the configuration.
const (
	modelService    = "models"
	documentService = "documents"
)

// requestHost is the host of all requests.
const requestHost = "trial.example"

// modelLoadTime is the time that the fake backends take to load a model. The configuration states the same time as
// loadS.
const modelLoadTime = 400 * time.Millisecond

// putTimeout is the timeout of one attempt to change the configuration.
const putTimeout = time.Second

// awaitReady puts the first configuration and waits until every proxy accepts clients.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.putConfiguration(ctx, firstVersion); err != nil {
		return errors.Wrap(err, "put the first configuration")
	}
	for _, n := range d.nodes[coordinatorCount:] {
		for !d.isReady(n) {
			if err := ctxtime.Sleep(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "%s is not ready", n.Name)
			}
		}
	}
	return nil
}

func (d *demo) isReady(n *node) bool {
	response, err := d.client.Get("http://" + n.readyAddress() + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// coordinatorWhere returns the first coordinator whose status has a property.
func (d *demo) coordinatorWhere(ctx context.Context, hasProperty func(*coordinator.Status) bool) (*node, bool) {
	for _, n := range d.nodes[:coordinatorCount] {
		var status coordinator.Status
		if err := d.getJSON(ctx, "http://"+n.controlAddress()+"/status", &status); err == nil && hasProperty(&status) {
			return n, true
		}
	}
	return nil, false
}

// controlAddresses returns the control addresses of all coordinators.
func (d *demo) controlAddresses() []string {
	return lo.Map(d.nodes[:coordinatorCount], func(n *node, _ int) string { return n.controlAddress() })
}

// putConfiguration sends a version of the configuration to the coordinators in turn until one acknowledges it. A status
// below 500 other than 200 is an error.
func (d *demo) putConfiguration(ctx context.Context, version uint64) error {
	document := newConfiguration(version)
	for attempt := 0; ; attempt++ {
		n := d.nodes[attempt%coordinatorCount]
		status, err := d.putOnce(ctx, n.controlAddress(), version-1, document)
		if err == nil && status == http.StatusOK {
			d.result.AcknowledgedChanges++
			d.result.AcknowledgedVersion = version
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return errors.Errorf("rejected with status %d", status)
		}
		if err := ctxtime.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (d *demo) putOnce(ctx context.Context, address string, baseVersion uint64, document string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/config", strings.NewReader(document))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", fmt.Sprint(baseVersion))
	response, err := d.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// readConfiguration reads the version of the configuration from the coordinators in turn until one responds.
func (d *demo) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var document struct {
		Version uint64 `json:"version"`
	}
	for attempt := 0; ; attempt++ {
		err := d.getJSON(ctx, "http://"+d.nodes[attempt%coordinatorCount].controlAddress()+"/config", &document)
		if err == nil {
			d.result.ReadVersion = document.Version
			return nil
		}
		if err := ctxtime.Sleep(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "read the configuration")
		}
	}
}

func (d *demo) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// newConfiguration returns the configuration with a version number: a route of kind streaming to the models, and one of
// kind changing to the documents.
func newConfiguration(version uint64) string {
	const runtime = `{"capacity":32,"cacheTokens":100000,"weightsMb":200,"adapterSlots":4,"loadsPerS":5,"models":[` +
		`{"name":"small","weightsMb":60,"loadS":0.4,"adapters":2,"adapterMb":1},{"name":"large","weightsMb":60,"loadS":0.4},` +
		`{"name":"rare","weightsMb":60,"loadS":0.4}]}`
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"stream","host":"trial.example","pathStart":"/stream/","kind":"streaming","timeoutMs":10000,"targetMs":2000,`+
		`"priority":1,"service":"models","tries":1},`+
		`{"name":"document","host":"trial.example","pathStart":"/document/","kind":"changing","timeoutMs":2000,"targetMs":500,`+
		`"priority":1,"service":"documents","tries":1}],`+
		`"services":[{"name":"models","maxConns":300,"runtime":%s},{"name":"documents","maxConns":100}],`+
		`"limits":{"headerBytes":16384,"bodyBytes":65536,"headerWaitMs":3000,"idleTimeoutMs":15000}}`, version, runtime)
}
