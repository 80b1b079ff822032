package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

const (
	scriptServiceTime  = 20 * time.Millisecond // mean, of a fake backend
	proxyStartTimeout  = 20 * time.Second      // until all proxies are ready
	proxyDrainDeadline = 15 * time.Second      // until a stopped proxy has ended
)

// scriptZones are the zones of fake backends and proxies.
var scriptZones = []string{"east", "west"}

// scriptRun is a run of a script: fakes of discovery and of backends behind relays, and processes of proxies.
type scriptRun struct {
	*faulttest.Harness
	script          *faulttest.Script
	program         string // path of the running executable
	dir             string
	environment     *fakestandalone.Environment
	discoveryAddr   string
	backendRelays   []*faulttest.Relay // by backend; shared by all proxies
	discoveryRelays []*faulttest.Relay // by proxy
	proxyAddrs      []string

	mu        sync.Mutex
	processes []*faulttest.Process // by proxy

	watching      context.Context // ends with close
	stopWatching  context.CancelFunc
	readyWatchers sync.WaitGroup // goroutines of recordReadiness
}

// newScriptRun prepares a run without starting a process or relay. The caller must call close, also after an error.
func newScriptRun(script *faulttest.Script) (*scriptRun, error) {
	r := &scriptRun{Harness: faulttest.New(), script: script, processes: make([]*faulttest.Process, script.Proxies)}
	r.watching, r.stopWatching = context.WithCancel(context.Background())
	var err error
	if r.program, err = os.Executable(); err != nil {
		return r, fmt.Errorf("own program: %w", err)
	}
	if r.dir, err = os.MkdirTemp("", "faulttest"); err != nil {
		return r, fmt.Errorf("folder of the run: %w", err)
	}
	return r, nil
}

// close ends all processes and relays, and removes the run's folder.
func (r *scriptRun) close() {
	r.stopWatching()
	r.Close()
	r.readyWatchers.Wait()
	os.RemoveAll(r.dir)
}

// start starts the fakes and the proxies, and waits until the proxies are ready. The fakes end with ctx.
func (r *scriptRun) start(ctx context.Context) error {
	if err := r.startEnvironment(ctx); err != nil {
		return err
	}
	for i := range r.script.Proxies {
		if err := r.addProxy(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, proxyStartTimeout)
	defer cancel()
	for i, addr := range r.proxyAddrs {
		if err := awaitReady(ctx, "http://"+addr, nil); err != nil {
			return fmt.Errorf("proxy %d is not ready: %w; its log:\n%s", i, err, r.processes[i].Log())
		}
	}
	return nil
}

// startEnvironment starts discovery and backends, and a relay to each backend. Discovery lists the address of the
// relay in place of the backend's.
func (r *scriptRun) startEnvironment(ctx context.Context) error {
	var listeners []net.Listener
	for range 1 + r.script.Backends {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("fakes: %w", err)
		}
		listeners = append(listeners, ln)
	}
	r.discoveryAddr = listeners[0].Addr().String()
	r.environment = fakestandalone.NewEnvironment(listeners[0], listeners[1:], scriptZones,
		fakestandalone.SleepAbout(scriptServiceTime))
	go r.environment.Serve(ctx)
	for i, entry := range r.environment.Entries {
		relay, err := r.StartRelay(fmt.Sprint("destination ", i), entry.Address)
		if err != nil {
			return err
		}
		entry.Address = relay.Addr()
		r.environment.Discovery.Put(entry)
		r.backendRelays = append(r.backendRelays, relay)
	}
	return nil
}

// addProxy starts the i-th proxy, which asks discovery through a relay of its own.
func (r *scriptRun) addProxy(i int) error {
	relay, err := r.StartRelay(fmt.Sprint("roster ", i), r.discoveryAddr)
	if err != nil {
		return err
	}
	// A separate IP address: no other connection takes the port between Close and the start of the proxy's listener.
	reserved, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", i+1))
	if err != nil {
		return fmt.Errorf("reserve an address: %w", err)
	}
	r.discoveryRelays = append(r.discoveryRelays, relay)
	r.proxyAddrs = append(r.proxyAddrs, reserved.Addr().String())
	reserved.Close()
	config, err := fakestandalone.ReplicaConfig(fakestandalone.ReplicaOptions{Listen: r.proxyAddrs[i], Discovery: relay.Addr(),
		Zones: scriptZones, Ordinal: i, GroupSize: r.script.Proxies})
	if err == nil {
		err = os.WriteFile(r.configFile(i), config, 0o600)
	}
	if err != nil {
		return fmt.Errorf("configuration of proxy %d: %w", i, err)
	}
	return r.startProxy(i)
}

func (r *scriptRun) configFile(i int) string {
	return filepath.Join(r.dir, fmt.Sprintf("proxy-%d.json", i))
}

// startProxy starts a process of the i-th proxy.
func (r *scriptRun) startProxy(i int) error {
	cmd := exec.Command(r.program, "serve", "--config", r.configFile(i))
	cmd.Env = append(os.Environ(), fmt.Sprint("ROUTER_NAME=proxy-", i), "TMPDIR="+r.dir)
	p, err := r.StartProcess(fmt.Sprint("proxy ", i), cmd)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes[i] = p
	r.mu.Unlock()
	r.readyWatchers.Go(func() { r.recordReadiness(i) })
	return nil
}

// recordReadiness records when the i-th proxy is ready. Requests sent to it before fail, however long its start takes.
func (r *scriptRun) recordReadiness(i int) {
	ctx, cancel := context.WithTimeout(r.watching, proxyStartTimeout)
	defer cancel()
	if err := awaitReady(ctx, "http://"+r.proxyAddrs[i], nil); err != nil {
		r.recordError(err)
		return
	}
	r.Record(fmt.Sprint("proxy ", i), "is ready")
}

// process returns the latest process of the i-th proxy.
func (r *scriptRun) process(i int) *faulttest.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// inject injects a fault and returns a function that ends it. Faults may overlap: a proxy may already have been killed
// when it is to be frozen.
func (r *scriptRun) inject(f faulttest.ScheduledFault) (end func()) {
	r.Record("script", "%v", &f)
	switch {
	case f.Action == faulttest.ActionFreeze:
		return r.freeze(f.Index)
	case f.Action == faulttest.ActionKill:
		r.process(f.Index).Kill()
		return func() { r.recordError(r.startProxy(f.Index)) }
	case f.Target == faulttest.TargetDiscovery:
		return injectLinkFault(r.discoveryRelays[f.Index], f)
	default:
		return injectLinkFault(r.backendRelays[f.Index], f)
	}
}

// recordError adds an error to the history of the run.
func (r *scriptRun) recordError(err error) {
	if err != nil {
		r.Record("script", "%v", err)
	}
}

// freeze stops a proxy's process (SIGSTOP) until end is called.
func (r *scriptRun) freeze(i int) (end func()) {
	p := r.process(i)
	if err := p.Freeze(); err != nil { // the proxy was killed and has not been started again yet
		r.recordError(err)
		return func() {}
	}
	return func() { r.recordError(p.Thaw()) } // fails if the proxy was killed while it was frozen
}

// injectLinkFault injects a fault into a relay. The returned function ends it.
func injectLinkFault(relay *faulttest.Relay, f faulttest.ScheduledFault) (end func()) {
	if f.Action == faulttest.ActionReset {
		relay.ResetConnections()
		return func() {}
	}
	fault := faulttest.Fault{Hold: true}
	if f.Action == faulttest.ActionDelay {
		fault = faulttest.Fault{Delay: time.Duration(f.Delay) * time.Microsecond}
	}
	if f.Action != faulttest.ActionCutDownstream {
		relay.Set(faulttest.Upstream, fault)
	}
	if f.Action != faulttest.ActionCutUpstream {
		relay.Set(faulttest.Downstream, fault)
	}
	return relay.Heal
}

// stopProxies stops all proxies and describes each one that had already ended or does not end in order within
// proxyDrainDeadline.
func (r *scriptRun) stopProxies() (failures []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.processes {
		if err := p.Stop(); err != nil {
			failures = append(failures, fmt.Sprintf("proxy %d had ended: %s", i, p.Log()))
		}
	}
	for i, p := range r.processes {
		if err := p.Wait(time.Now().Add(proxyDrainDeadline)); err != nil {
			failures = append(failures, fmt.Sprintf("proxy %d: %v", i, err))
		}
	}
	return failures
}
