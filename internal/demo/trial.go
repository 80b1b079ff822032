package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/fake/fakesystem"
)

// Options of a trial.
type Options struct {
	Programs string        // folder of the system's programs
	Length   time.Duration // of the load
	Log      io.Writer     // what the processes write; nil: nothing
	Progress io.Writer     // what the trial tells meanwhile
}

// Result is what a trial came to.
type Result struct {
	Streams, Changing Count
	Loads             int           // of models, by order
	Acknowledged      int           // changes of the configuration
	Newest            uint64        // version acknowledged last
	ReadBack          uint64        // version read at the end
	KilledHolder      string        // node of the coordinator that was killed
	Gap               time.Duration // longest time between two acknowledgements, the kill among them
}

// Count is what became of the requests of one kind.
type Count struct {
	Served, Refused, Failed int
	Twice                   int // ran more than once
	Broken                  int // a success that was not the whole answer
}

// Fault returns why the trial shows a fault of the system, nil where it shows none.
func (r *Result) Fault() error {
	switch {
	case r.Streams.Served == 0 || r.Changing.Served == 0:
		return errors.New("some kind of request was never served")
	case r.Streams.Twice+r.Changing.Twice > 0:
		return errors.New("a request ran more than once")
	case r.Streams.Broken+r.Changing.Broken > 0:
		return errors.New("an answer was passed off as whole")
	case r.Acknowledged < 2:
		return errors.New("changes of the configuration were not acknowledged")
	case r.ReadBack != r.Newest:
		return errors.Errorf("version %d was acknowledged last, %d was read back", r.Newest, r.ReadBack)
	case r.Loads == 0:
		return errors.New("no model was loaded")
	}
	return nil
}

const (
	coordinators = 3
	proxies      = 3
	startWithin  = 20 * time.Second
	pollEvery    = 20 * time.Millisecond
	loadTime     = 400 * time.Millisecond
)

// trial is one run.
type trial struct {
	Options
	dir       string
	runs      *fakesystem.ExecutionCounter
	platform  *fakesystem.Platform
	backends  []*fakesystem.Backend
	machines  []*machine // coordinators first, then proxies
	processes []*process
	client    *http.Client
	result    Result
}

// Run plays a trial.
func Run(ctx context.Context, options Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "pumiceline-trial")
	if err != nil {
		return nil, errors.Wrap(err, "making a folder")
	}
	defer os.RemoveAll(dir)
	if options.Log == nil {
		options.Log = io.Discard
	}
	t := &trial{Options: options, dir: dir, runs: fakesystem.NewExecutionCounter(), client: &http.Client{}}
	defer t.close()
	if err := t.surround(); err != nil {
		return nil, err
	}
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	if err := t.play(ctx); err != nil {
		return nil, err
	}
	for _, backend := range t.backends {
		t.result.Loads += backend.ModelLoads()
	}
	return &t.result, nil
}

// surround starts the fake backends and the platform. One model is held by nobody.
func (t *trial) surround() error {
	held := [][]string{{"small"}, {"small", "large"}, {"large"}}
	for i, models := range held {
		backend := &fakesystem.Backend{
			ID: fmt.Sprintf("model-%d", i), Service: "models", Zone: "z0", Capacity: 32, ModelLoadTime: loadTime, StreamEvents: 8,
		}
		if err := backend.Start(t.runs, models...); err != nil {
			return errors.Wrap(err, "starting a fake backend")
		}
		t.backends = append(t.backends, backend)
	}
	for i := range 2 {
		backend := &fakesystem.Backend{ID: fmt.Sprintf("documents-%d", i), Service: "documents", Zone: "z0", Capacity: 8}
		if err := backend.Start(t.runs); err != nil {
			return errors.Wrap(err, "starting a fake backend")
		}
		t.backends = append(t.backends, backend)
	}
	t.platform = &fakesystem.Platform{}
	return errors.Wrap(t.platform.Start(t.backends...), "starting the fake platform")
}

// start writes the settings and starts all processes.
func (t *trial) start(ctx context.Context) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range coordinators {
		seeds = append(seeds, fmt.Sprintf("127.0.1.%d:%d", i+1, ports[2]))
	}
	for i := range coordinators + proxies {
		m := &machine{
			Name: fmt.Sprintf("coordinator-%d", i), IP: fmt.Sprintf("127.0.1.%d", i+1), Zone: fmt.Sprintf("z%d", i%3),
			FrontPort: ports[0], ReadyPort: ports[1], ControlPort: ports[2], FirstPort: ports[3], LastPort: ports[3] + 1, Seeds: seeds, First: true,
			PlatformAddress: t.platform.Address,
		}
		program := "pumiceline-proxy"
		if i < coordinators {
			m.StateDir, program = filepath.Join(t.dir, m.Name), "pumiceline-coordinator"
		} else {
			m.Name = fmt.Sprintf("proxy-%d", i-coordinators)
		}
		t.machines = append(t.machines, m)
		if err := t.launch(i, program); err != nil {
			return err
		}
	}
	return t.awaitReady(ctx)
}

func (t *trial) launch(index int, program string) error {
	settings, err := t.machines[index].write(t.dir)
	if err != nil {
		return err
	}
	p, err := launch(t.Programs, program, settings, t.Log)
	if err != nil {
		return err
	}
	if index < len(t.processes) {
		t.processes[index] = p
	} else {
		t.processes = append(t.processes, p)
	}
	return nil
}

// awaitReady sends the first configuration and waits until every proxy takes clients.
func (t *trial) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := t.change(ctx, 1); err != nil {
		return errors.Wrap(err, "the first configuration")
	}
	for _, m := range t.machines[coordinators:] {
		for {
			response, err := t.client.Get("http://" + m.ready() + "/ready")
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if err := wait(ctx, pollEvery); err != nil {
				return errors.Wrapf(err, "%s is not ready", m.Name)
			}
		}
	}
	return nil
}

// play runs the load, changes the configuration beside it, and takes the lease holder down a third of the way through.
func (t *trial) play(ctx context.Context) error {
	load := newLoad(t)
	finished := make(chan struct{})
	until := time.Now().Add(t.Length)
	go func() {
		defer close(finished)
		load.run(ctx, until)
	}()
	killAt := time.Now().Add(t.Length / 3)
	killed, back := -1, false
	last := time.Now()
	for version := uint64(2); time.Now().Before(until) && ctx.Err() == nil; version++ {
		if killed < 0 && time.Now().After(killAt) {
			killed = t.holder(ctx)
			t.result.KilledHolder = t.machines[killed].Name
			t.say("killing %s, which holds the controller lease", t.machines[killed].Name)
			t.processes[killed].kill()
		}
		if killed >= 0 && !back && time.Now().After(killAt.Add(t.Length/3)) {
			back = true
			t.machines[killed].First = false
			t.say("starting %s again", t.machines[killed].Name)
			if err := t.launch(killed, "pumiceline-coordinator"); err != nil {
				return err
			}
		}
		if err := t.change(ctx, version); err != nil {
			return errors.Wrapf(err, "version %d", version)
		}
		t.result.Gap = max(t.result.Gap, time.Since(last))
		last = time.Now()
		if err := wait(ctx, t.Length/20); err != nil {
			return err
		}
	}
	<-finished
	t.result.Streams, t.result.Changing = load.counts()
	return t.readBack(ctx)
}

func (t *trial) say(format string, args ...any) {
	if t.Progress != nil {
		fmt.Fprintf(t.Progress, format+"\n", args...)
	}
}

// holder returns the coordinator that holds the lease, or the first where none says so.
func (t *trial) holder(ctx context.Context) int {
	for i, m := range t.machines[:coordinators] {
		var status coordinator.Status
		if err := t.getJSON(ctx, "http://"+m.control()+"/status", &status); err == nil && status.LeaseToken != 0 {
			return i
		}
	}
	return 0
}

func (t *trial) getJSON(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// change sends a configuration until it is acknowledged, to one coordinator after the other.
func (t *trial) change(ctx context.Context, version uint64) error {
	document := configurationFor(version)
	for try := 0; ; try++ {
		m := t.machines[try%coordinators]
		status, err := t.put(ctx, m.control(), version-1, document)
		if err == nil && status == http.StatusOK {
			t.result.Acknowledged++
			t.result.Newest = version
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return errors.Errorf("refused with %d", status)
		}
		if err := wait(ctx, pollEvery); err != nil {
			return err
		}
	}
}

func (t *trial) put(ctx context.Context, address string, base uint64, document string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/config", strings.NewReader(document))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := t.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func (t *trial) readBack(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	var document struct {
		Version uint64 `json:"version"`
	}
	for try := 0; ; try++ {
		err := t.getJSON(ctx, "http://"+t.machines[try%coordinators].control()+"/config", &document)
		if err == nil {
			t.result.ReadBack = document.Version
			return nil
		}
		if err := wait(ctx, pollEvery); err != nil {
			return errors.Wrap(err, "the configuration cannot be read back")
		}
	}
}

func (t *trial) close() {
	var ending sync.WaitGroup
	for _, p := range t.processes {
		ending.Go(p.stop)
	}
	ending.Wait()
	if t.platform != nil && t.platform.Address != "" {
		t.platform.Close()
	}
	for _, backend := range t.backends {
		backend.Close()
	}
}

func wait(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// freePorts returns ports that were free a moment ago.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.1.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "looking for a free port")
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// configuration is the trial's: a streaming route to the models and a changing one to the documents.
func configurationFor(version uint64) string {
	const runtime = `{"capacity":32,"cacheTokens":100000,"weightsMb":200,"adapterSlots":4,"loadsPerS":5,"models":[` +
		`{"name":"small","weightsMb":60,"loadS":0.4,"adapters":2,"adapterMb":1},{"name":"large","weightsMb":60,"loadS":0.4},` +
		`{"name":"rare","weightsMb":60,"loadS":0.4}]}`
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"stream","host":"trial.example","pathStart":"/stream/","kind":"streaming","timeoutMs":10000,"targetMs":2000,"priority":1,"service":"models","tries":1},`+
		`{"name":"document","host":"trial.example","pathStart":"/document/","kind":"changing","timeoutMs":2000,"targetMs":500,"priority":1,"service":"documents","tries":1}],`+
		`"services":[{"name":"models","maxConns":300,"runtime":%s},{"name":"documents","maxConns":100}],`+
		`"limits":{"headerBytes":16384,"bodyBytes":65536,"headerWaitMs":3000,"idleTimeoutMs":15000}}`, version, runtime)
}
