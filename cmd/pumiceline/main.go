// Command pumiceline is a balancing HTTP proxy: it serves clients from a pool of destinations, with every choice
// made by package decide.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pumiceline/internal/standalone/admin"
	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/deployfile"
	"pumiceline/internal/standalone/discovery"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/listener"
	"pumiceline/internal/standalone/metrics"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Serve clients until told to stop."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and say what it amounts to."`
	Version versionCmd `cmd:"" help:"Say which version this is."`
	Try     tryCmd     `cmd:"" help:"Run the proxy with stand-ins and a gentle load in one process, and show what happens."`
	Stage   stageCmd   `cmd:"" help:"Run real proxies and stand-ins with faults between them."`
	Owner   ownerCmd   `cmd:"" help:"One owner at a time for the work that is done once for a fleet."`
	Lab     labCmd     `cmd:"" help:"Try designs in the laboratory: a model of the whole fleet, without sockets."`
}

type output struct{ io.Writer }

func main() {
	args := kong.Parse(&cli{}, kong.Name("pumiceline"), kong.UsageOnError(),
		kong.Description("A balancing HTTP proxy. The configuration is the file that ROUTER_CONFIG names."))
	args.FatalIfErrorf(args.Run(output{os.Stdout}))
}

type versionCmd struct{}

// Run prints the version that the build recorded.
func (versionCmd) Run(out output) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this program was built without build information")
	}
	_, err := fmt.Fprintln(out, "pumiceline", info.Main.Version, info.GoVersion)
	return err
}

type checkCmd struct {
	Config string `help:"Configuration file, in place of the one that ROUTER_CONFIG names." type:"path"`
}

// Run reads the configuration as serve would.
func (c *checkCmd) Run(out output) error {
	cfg, err := config.Load(c.Config, os.Getenv)
	if err != nil {
		return err
	}
	if _, err := policy.New(cfg.Module, cfg.Seed); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s listens on %s and asks %s; %d classes, %d tenants, %d zones\n", cfg.Name, cfg.Listen,
		cfg.Discovery, len(cfg.Settings.Classes), len(cfg.Settings.Tenants), len(cfg.Settings.Zones))
	return err
}

type serveCmd struct {
	Config string     `help:"Configuration file, in place of the one that ROUTER_CONFIG names." type:"path"`
	Door   string     `help:"Fair queues at the door, set by this file (deploy/door.toml); none if it is not given." type:"path"`
	Level  slog.Level `help:"Least level of the log lines that are written." default:"INFO"`
}

// The socket budget: front sockets and connections to destinations have a part each, and the rest is for the
// listener, discovery, a dial under way and the runtime.
const (
	frontPart       = 0.55
	destinationPart = 0.35
	// Of destinations' part, front sockets may use what is over this least and over what is in use with some room.
	destinationLeast = 0.15
	destinationRoom  = 0.08
	// adminPart is the operators' door's, of the rest; between 4 and 12 descriptors.
	adminPart = 1.0 / 32
	// sharedLeast of each part may be used whatever another process of this proxy uses.
	sharedLeast = 0.25
	// listWithin is how long a process that takes over waits for discovery.
	listWithin = 3500 * time.Millisecond
	// memoryPart of the limit is the collector's goal; the rest is for what it does not see.
	memoryPart = 0.7
	// collectAt is how far the heap may grow, in hundredths of what is in use, before it is collected. What is in use is a
	// few MB, so that at Go's usual 100 the collector ran several times a second and took a fifth of a busy proxy's CPU.
	collectAt = 400
)

// Run serves until SIGTERM or SIGINT, and reads the configuration again on SIGHUP.
func (s *serveCmd) Run() error {
	hangups := make(chan os.Signal, 1) // first of all: until it is asked for, a SIGHUP ends the program
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // likewise
	defer cancel()
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: s.Level}))
	cfg, err := config.Load(s.Config, os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	reload := func(now *config.Config) (*config.Config, error) { return config.Reload(s.Config, os.Getenv, now) }
	return serve(stop, cfg, parts{hangups: hangups, reload: reload, door: s.Door}, log.With("proxy", cfg.Name))
}

// parts are what serve is given besides the configuration. Each may be absent.
type parts struct {
	hangups <-chan os.Signal // at each of them reload is called
	reload  reload           // reads the configuration again
	door    string           // the door's file
	network network          // nil: TCP
}

// network is where the program listens and dials.
type network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string, by time.Time) (net.Conn, error)
}

// tcp is the network of the machine.
type tcp struct{}

func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (tcp) Dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	return backend.DialTCP(ctx, addr, by)
}

// serve puts the parts together and runs them until stop ends and all that was taken is answered. At each hangup it
// takes over what reload brings and what the operators' files say then.
func serve(stop context.Context, cfg *config.Config, with parts, log *slog.Logger) error {
	module, err := policy.New(cfg.Module, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	var gate *listener.Gate
	if with.door != "" {
		set, err := deployfile.ReadAdmission(with.door, &cfg.Settings, cfg.Seed)
		if err != nil {
			return err
		}
		if gate, err = listener.NewGate(set, log); err != nil {
			return err
		}
	}
	if with.network == nil {
		with.network = tcp{}
	}
	figures := metrics.New()
	figures.Classes(classNames(&cfg.Settings))
	limits := &cfg.Settings.Limits
	allSockets := float64(cfg.Limits.Sockets)
	fleetOptions := backend.Options{DialTimeout: micros(limits.DialTimeout), IdleTimeout: micros(limits.IdleClose),
		MaxConnections: int(allSockets * destinationPart), OnRequestWritten: figures.Sent, Dial: with.network.Dial}
	fleetOptions.ReportColumns = config.Columns(&cfg.Settings, &cfg.Module)
	fleet := backend.NewPool(fleetOptions, log)
	watcher := discovery.NewWatcher(cfg.Discovery, discovery.NewTable(cfg.Settings.Zones, cfg.Settings.InstanceTypes), fleet, log)
	watcher.Over(with.network.Dial)
	share := &sharing{memoryMB: cfg.Limits.MemoryMB}
	share.at.Store(int32(hotrestart.Starting))
	if cfg.Shared != "" {
		folder := hotrestart.NewFolder(cfg.Shared, cfg.Name+" "+cfg.Listen)
		watcher.Keep(folder)
		share.folder = folder
		if share.presence, err = folder.Join(); err != nil { // alone, then: a folder that is of no use must not stop a proxy
			log.Error("other processes of this proxy can't be told of this one", "error", err)
		} else {
			defer share.presence.Leave()
		}
	}
	probes := forwarder.NewProbes(fleet, log)
	defer probes.Close()
	plan := engine.New(module, engine.Hooks{Subscribe: watcher.Ask, CloseUnused: fleet.CloseIdle, Probe: probes.Start}, log)
	probes.SetEngine(plan)
	share.plan, share.log = plan, log
	transport := &forwarder.Transport{Engine: plan, Backends: fleet, Log: log}
	transport.MaxRetryAfter.Store(settings.Micros(limits.MaxRetryAfter))
	clients := listener.New(listener.Options{Settings: &cfg.Settings, Ready: watcher.Held, Log: log, Gate: gate, Metrics: figures,
		GuaranteedSockets: int(allSockets * frontPart), HasSuccessor: share.successor,
		SocketLimit: func() int { // what destinations have no use for, less some room for them to grow
			fronts, connections := share.others()
			spare := allSockets*(frontPart+destinationPart) - max(allSockets*destinationLeast, float64(fleet.OpenConnections()+connections)+allSockets*destinationRoom)
			return max(int(max(allSockets*frontPart, spare))-fronts, int(allSockets*frontPart*sharedLeast))
		},
		Transport: transport})

	figures.Watch(metrics.Gauges{Current: clients.InFlight, Size: watcher.Size,
		Unhealthy: func() int { return plan.AvoidedBackends() + watcher.TakenOut() },
		Kept:      func() map[string]int { return kept(plan, fleet, watcher, clients, figures, probes) }})

	var ln net.Listener
	if cfg.ListenFD == 0 {
		ln, err = with.network.Listen(cfg.Listen)
	} else {
		ln, err = hotrestart.Listen(cfg.ListenFD)
	}
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	// The list and the timers go on until the last request is answered.
	running, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	watcher.Start(plan, cfg.Known)
	var background sync.WaitGroup
	var taking atomic.Bool
	if cfg.Operator != "" {
		hatch, err := with.network.Listen(cfg.Operator)
		if err != nil {
			return fmt.Errorf("config: operator: %w", err)
		}
		door := admin.New(admin.Options{Log: log, Most: int(max(4, min(12, allSockets*adminPart))), Metrics: figures.Handler(),
			Suspend: watcher.Suspend, Resume: watcher.Resume, Ready: func() error {
				switch {
				case stop.Err() != nil:
					return errors.New("stopping")
				case !watcher.Held():
					return errors.New("no pool config yet")
				case !taking.Load():
					return errors.New("not taking connections yet")
				}
				return nil
			}})
		background.Go(func() {
			if err := door.Serve(running, hatch); err != nil {
				log.Error("the operators' door is closed", "error", err)
			}
		})
	}
	background.Go(func() { plan.Run(running) })
	background.Go(func() { watcher.Run(running) })
	background.Go(func() { watcher.Look(running) })
	if gate != nil {
		background.Go(func() { gate.Run(running) })
	}
	change := &changer{cfg: cfg, door: with.door, gate: gate, plan: plan, fleet: fleet, transport: transport, clients: clients,
		watcher: watcher, figures: figures, log: log}
	go func() { // nobody waits for it: a file that never comes must not hold up the end
		for {
			select {
			case <-running.Done():
				return
			case <-with.hangups:
				change.hangup(with.reload)
			}
		}
	}()
	share.counts = func() (int, int) { return clients.OpenSockets(), fleet.OpenConnections() }
	share.budgets = func(processes int) error {
		_, connections := share.others()
		fleet.SetMaxConnections(max(int(allSockets*destinationPart)-connections, int(allSockets*destinationPart*sharedLeast)))
		return change.share(processes)
	}
	look := func() {
		if err := share.look(); err != nil {
			log.Error("limits can't be shared with another process", "error", err)
		}
	}
	look()
	if share.presence != nil {
		background.Go(func() { share.run(running, look) })
	}
	err = nil
	if cfg.ListenFD == 0 || awaitList(stop, watcher) {
		log.Info("serving", "listen", cfg.Listen, "discovery", cfg.Discovery)
		share.learn()
		share.at.Store(int32(hotrestart.Serving))
		look()
		taking.Store(true)
		context.AfterFunc(stop, func() { share.at.Store(int32(hotrestart.Ending)) })
		err = clients.Serve(stop, ln)
	}
	cancel()
	background.Wait()
	log.Info("ended", "error", err)
	return err
}

// kept is how much the proxy holds in memory by id, host, address or class. Each of these comes down again with its owner, or has a
// bound of its own; docs/runbook-standalone.md says which.
func kept(plan *engine.Engine, fleet *backend.Pool, watcher *discovery.Watcher, clients *listener.Server, figures *metrics.Metrics,
	probes *forwarder.Probes) map[string]int {
	calls, timers, module := plan.TableSizes()
	destinations, idle := fleet.TableSizes()
	listed, names, out := watcher.Kept()
	ids, classes, waiting := clients.TableSizes()
	return map[string]int{"calls": calls, "timers": timers, "module_requests": module.OpenRequests, "module_held": module.QueuedRequests,
		"module_spare": module.FreeRequests, "module_servers": module.Servers, "module_kinds": module.InstanceTypes, "destinations": destinations,
		"connections": fleet.OpenConnections(), "idle_connections": idle, "hosts": listed, "host_names": names, "suspension_names": out,
		"front_sockets": clients.OpenSockets(), "correlation_ids": ids, "class_numbers": classes, "class_series": figures.Shown(),
		"gate_waiting": waiting, "probes": probes.InFlight()}
}

// awaitList waits until discovery has told of the list, and says whether that came before stop. Beside a process that serves, one
// with an older list would undo drains that the other knows of. Discovery may be down: then the list that there is has to do.
func awaitList(stop context.Context, watcher *discovery.Watcher) bool {
	patience, again := time.NewTimer(listWithin), time.NewTicker(10*time.Millisecond)
	defer patience.Stop()
	defer again.Stop()
	late := false
	for !watcher.Held() || !watcher.Heard() && !late {
		select {
		case <-stop.Done():
			return false
		case <-patience.C:
			late = true
		case <-again.C:
		}
	}
	return true
}

func micros(v float64) time.Duration { return time.Duration(settings.Micros(v)) * time.Microsecond }
