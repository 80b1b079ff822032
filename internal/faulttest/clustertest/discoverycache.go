package clustertest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

// DiscoveryCacheOptions are the parameters of a run of discovery caches.
type DiscoveryCacheOptions struct {
	Members      int // 1, 3, 5 or 7
	Instances    int // each serves a cache of discovery's list
	Lease        time.Duration
	SteadyPeriod time.Duration // of counted requests to discovery without faults; and of load after the kill
	Proxies      int           // that use a cache, under load; as many others use discovery directly
}

// DiscoveryCacheResult is the outcome of a run of discovery caches. Its JSON form is stored.
type DiscoveryCacheResult struct {
	Instances     int           `json:"instances"`
	AllServeS     float64       `json:"all_serve_s"` // in seconds from the first process's start until all caches served
	StartCalls    int64         `json:"start_calls"` // requests to discovery until then
	SteadyCalls   int64         `json:"calm_calls"`  // requests to discovery in the steady period
	UpdateDelay   Percentiles   `json:"change"`      // from a change at discovery until a cache's watcher has it
	FailoverDelay Percentiles   `json:"new_owner"`   // from the holder's kill until a cache's watcher has a later change
	FailoverCalls int64         `json:"lost_calls"`  // requests to discovery in that time
	MemberMB      float64       `json:"member_mb"`   // mean resident memory
	InstanceMB    float64       `json:"instance_mb"`
	MemberCPU     float64       `json:"member_cpu"` // mean share of a core in the steady period
	InstanceCPU   float64       `json:"instance_cpu"`
	Direct        RequestCounts `json:"direct"`   // of proxies that use discovery directly
	Cached        RequestCounts `json:"mirrored"` // of proxies that use a cache
}

// RequestCounts counts the requests to a group of proxies by their result.
type RequestCounts struct {
	Sent     int `json:"Asked"`
	Served   int `json:"Served"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`
}

func (c *RequestCounts) add(s fakestandalone.RequestStats) {
	c.Sent += s.Sent
	c.Served += s.Served
	c.Rejected += s.Rejected
	c.Failed += s.Failed
}

// discoveryRole is the role whose holder follows discovery for all instances.
const discoveryRole = "roster"

const (
	testBackends        = 4
	backendServiceTime  = 20 * time.Millisecond
	requestsPerSecond   = 50 // to each proxy
	cacheStartTimeout   = time.Minute
	updateTimeout       = 20 * time.Second
	failoverTimeout     = 30 * time.Second
	proxyReadyTimeout   = 20 * time.Second
	stabilizationLeases = 5 // lease durations until instances that considered the first holder failed return to it
	proxiesPerCacheUser = 2 // every second proxy uses a cache, the others use discovery directly
)

// Names of the hosts that are added as changes.
const (
	hostAtStart        = "first"
	hostInSteadyPeriod = "second"
	hostAfterKill      = "third"
)

var testZones = []string{"east", "west"}

// discoveryCacheRun is a run of discovery caches.
type discoveryCacheRun struct {
	*cluster
	opts          *DiscoveryCacheOptions
	result        *DiscoveryCacheResult
	discovery     *fakestandalone.Discovery
	directAddr    string       // of discovery, for proxies
	fleetAddr     string       // of discovery, for instances; requests to it are counted
	fleetRequests atomic.Int64 // to fleetAddr
	members       []string     // names
	instances     []string
	cacheAddrs    []string // by instance
	watchers      *cacheWatchers
	loads         []*fakestandalone.LoadGenerator // by proxy
}

// RunDiscoveryCache runs instances that each serve a cache of discovery's list, counts the requests to discovery, and
// kills the instance that follows discovery for the others.
func RunDiscoveryCache(program string, opts *DiscoveryCacheOptions) (*DiscoveryCacheResult, error) {
	result := &DiscoveryCacheResult{Instances: opts.Instances}
	c, err := newCluster(clusterOptions{program: program, members: opts.Members, lease: opts.Lease})
	defer c.close()
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &discoveryCacheRun{cluster: c, opts: opts, result: result, watchers: newCacheWatchers(opts.Instances)}
	if err := r.startDiscovery(ctx); err != nil {
		return result, err
	}
	if err := r.startCaches(ctx); err != nil {
		return result, err
	}
	time.Sleep(stabilizationLeases * opts.Lease)
	if err := r.startProxies(); err != nil {
		return result, err
	}
	stopLoad := r.startLoad(ctx)
	defer stopLoad()
	if err := r.measureSteadyPeriod(); err != nil {
		return result, err
	}
	if err := r.measureFailover(); err != nil {
		return result, err
	}
	stopLoad()
	r.countRequests()
	return result, nil
}

// startDiscovery starts the fakes of discovery and of backends, and a second listener of discovery that counts
// requests. They end with ctx.
func (r *discoveryCacheRun) startDiscovery(ctx context.Context) error {
	var listeners []net.Listener
	for range 2 + testBackends {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("start discovery: %w", err)
		}
		listeners = append(listeners, ln)
	}
	direct, counted, backends := listeners[0], listeners[1], listeners[2:]
	environment := fakestandalone.NewEnvironment(direct, backends, testZones, fakestandalone.SleepAbout(backendServiceTime))
	go environment.Serve(ctx)
	r.discovery = environment.Discovery
	r.directAddr, r.fleetAddr = direct.Addr().String(), counted.Addr().String()
	r.putHost(hostAtStart)
	count := func(w http.ResponseWriter, req *http.Request) {
		r.fleetRequests.Add(1)
		r.discovery.ServeHTTP(w, req)
	}
	server := &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: http.HandlerFunc(count)}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(counted)
	return nil
}

// putHost adds a host to discovery's list, as a change that watchers wait for. The host is draining, so that no proxy
// sends requests to it.
func (r *discoveryCacheRun) putHost(name string) {
	r.discovery.Put(discovery.Entry{Host: name, Address: "127.0.0.1:1", Zone: testZones[0], InstanceType: "std-8", Cell: 1,
		Health: "DRAINING", Size: 1})
}

// startCaches starts members and instances, and waits until all caches serve.
func (r *discoveryCacheRun) startCaches(ctx context.Context) error {
	if err := r.writeDiscoveryFleetFile(); err != nil {
		return err
	}
	startedAt := time.Now()
	for i := range r.opts.Members {
		r.members = append(r.members, memberName(i))
		if err := r.startMemberProcess(i, r.fleetFile(operatorName)); err != nil {
			return err
		}
	}
	for i := range r.opts.Instances {
		if err := r.startCache(i); err != nil {
			return err
		}
	}
	for i, addr := range r.cacheAddrs {
		go r.watchers.watch(ctx, i, addr)
	}
	if _, err := r.watchers.awaitHost(time.Now().Add(cacheStartTimeout), hostAtStart, startedAt); err != nil {
		return err
	}
	r.result.AllServeS, r.result.StartCalls = time.Since(startedAt).Seconds(), r.fleetRequests.Load()
	return nil
}

// writeDiscoveryFleetFile writes the fleet file that all processes share, as there are no relays between them.
func (r *discoveryCacheRun) writeDiscoveryFleetFile() error {
	text := r.fleetFileHead()
	for i, addr := range r.memberAddrs {
		text += fmt.Sprintf("%d = %q\n", i+1, addr)
	}
	text += fmt.Sprintf("[works.%s]\ndiscovery = %q\n", discoveryRole, r.fleetAddr)
	return r.storeFleetFile(operatorName, text)
}

func (r *discoveryCacheRun) startCache(i int) error {
	addr, err := reserveAddr(cacheAddrs, i)
	if err != nil {
		return err
	}
	name := instanceName(i)
	r.cacheAddrs, r.instances = append(r.cacheAddrs, addr), append(r.instances, name)
	return r.startProcess(name, "singleton", "run", "--fleet", r.fleetFile(operatorName), "--name", name, "--mirror", addr)
}

// startProxies starts the proxies, every second of which uses a cache, and waits until each is ready.
func (r *discoveryCacheRun) startProxies() error {
	count := proxiesPerCacheUser * r.opts.Proxies
	for i := range count {
		discoveryAddr := r.directAddr
		if isCacheUser(i) {
			discoveryAddr = r.cacheAddrs[i/proxiesPerCacheUser%len(r.cacheAddrs)]
		}
		addr, err := r.startProxy(i, count, discoveryAddr)
		if err != nil {
			return err
		}
		r.loads = append(r.loads, &fakestandalone.LoadGenerator{BaseURL: "http://" + addr, RequestsPerSecond: requestsPerSecond,
			Classes: fakestandalone.Classes, Tenants: fakestandalone.Tenants})
		if !waitFor(time.Now().Add(proxyReadyTimeout), func() bool { return isReady(addr) }) {
			return fmt.Errorf("proxy %d is not ready; its log:\n%s", i, r.processes[proxyName(i)].Log())
		}
	}
	return nil
}

// isCacheUser reports whether the i-th proxy uses a cache.
func isCacheUser(i int) bool { return i%proxiesPerCacheUser == 1 }

func proxyName(i int) string { return fmt.Sprint("proxy ", i+1) }

// startProxy starts the i-th of count proxies, with an address of discovery, and returns the address where it listens.
func (r *discoveryCacheRun) startProxy(i, count int, discoveryAddr string) (addr string, err error) {
	if addr, err = reserveAddr(proxyAddrs, i); err != nil {
		return "", err
	}
	config, err := fakestandalone.ReplicaConfig(fakestandalone.ReplicaOptions{Listen: addr, Discovery: discoveryAddr,
		Zones: testZones, Ordinal: i, GroupSize: count})
	file := filepath.Join(r.dir, fmt.Sprintf("proxy-%d.json", i))
	if err == nil {
		err = os.WriteFile(file, config, 0o600)
	}
	if err != nil {
		return "", fmt.Errorf("configuration of proxy %d: %w", i, err)
	}
	return addr, r.startProcess(proxyName(i), "serve", "--config", file)
}

func isReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startLoad sends requests to all proxies at the same time, so that the proxies that use a cache and those that use
// discovery directly have the same conditions. The returned function ends the load and waits for the last response; it
// may be called twice.
func (r *discoveryCacheRun) startLoad(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, load := range r.loads {
		running.Go(func() { load.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// measureSteadyPeriod measures how long a change takes to reach the caches, and the resource usage of the processes
// without faults.
func (r *discoveryCacheRun) measureSteadyPeriod() (err error) {
	requestsBefore := r.fleetRequests.Load()
	membersBefore, err := r.meanUsage(r.members)
	if err != nil {
		return err
	}
	instancesBefore, err := r.meanUsage(r.instances)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	r.putHost(hostInSteadyPeriod)
	r.result.UpdateDelay, err = r.watchers.awaitHost(startedAt.Add(updateTimeout), hostInSteadyPeriod, startedAt)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(startedAt.Add(r.opts.SteadyPeriod)))
	r.result.SteadyCalls = r.fleetRequests.Load() - requestsBefore
	seconds := time.Since(startedAt).Seconds()
	members, err := r.meanUsage(r.members)
	if err != nil {
		return err
	}
	instances, err := r.meanUsage(r.instances)
	if err != nil {
		return err
	}
	r.result.MemberMB, r.result.MemberCPU = members.residentMB, (members.cpuSeconds-membersBefore.cpuSeconds)/seconds
	r.result.InstanceMB, r.result.InstanceCPU = instances.residentMB, (instances.cpuSeconds-instancesBefore.cpuSeconds)/seconds
	return nil
}

// meanUsage is the mean resource usage of a group of processes.
type meanUsage struct {
	residentMB float64
	cpuSeconds float64 // since the start of each process
}

func (r *discoveryCacheRun) meanUsage(names []string) (mean meanUsage, err error) {
	for _, name := range names {
		usage, err := r.processes[name].Usage()
		if err != nil {
			return meanUsage{}, err
		}
		mean.residentMB += float64(usage.ResidentBytes) / (1 << 20) / float64(len(names))
		mean.cpuSeconds += usage.CPU.Seconds() / float64(len(names))
	}
	return mean, nil
}

// measureFailover kills the instance that follows discovery and measures how long a later change takes to reach the
// other instances' caches.
func (r *discoveryCacheRun) measureFailover() error {
	status, err := r.status()
	if err != nil {
		return err
	}
	holder := slices.Index(r.instances, status.MostCurrent().Assignments[discoveryRole].Holder)
	if holder < 0 {
		return errors.New("no instance follows discovery")
	}
	requestsBefore := r.fleetRequests.Load()
	r.processes[r.instances[holder]].Kill()
	killedAt := time.Now()
	r.putHost(hostAfterKill)
	r.watchers.markSeen(holder, hostAfterKill, killedAt) // its cache has ended with the instance
	r.result.FailoverDelay, err = r.watchers.awaitHost(killedAt.Add(failoverTimeout), hostAfterKill, killedAt)
	r.result.FailoverCalls = r.fleetRequests.Load() - requestsBefore
	if err != nil {
		return err
	}
	time.Sleep(time.Until(killedAt.Add(r.opts.SteadyPeriod)))
	return nil
}

func (r *discoveryCacheRun) countRequests() {
	for i, load := range r.loads {
		if isCacheUser(i) {
			r.result.Cached.add(load.TakeStats())
		} else {
			r.result.Direct.add(load.TakeStats())
		}
	}
}
