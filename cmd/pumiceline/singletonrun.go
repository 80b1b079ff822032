package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"pumiceline/internal/singleton"
	"pumiceline/internal/singleton/leaseclient"
	"pumiceline/internal/standalone/deployfile"
	"pumiceline/internal/standalone/discoverycache"
)

type singletonRunCmd struct {
	fleetFlags
	Name         string  `help:"This instance's name." required:""`
	Zone         string  `help:"Its failure domain: of two that hold as many roles, the one whose zone holds fewer gets the next."`
	Build        uint64  `help:"Newer builds are preferred."`
	CacheAddress string  `name:"mirror" help:"Where to serve the copy of discovery's list, for proxies here and caches elsewhere; empty: nowhere."`
	History      string  `help:"File for when each effect was sent and its outcome, a JSON object a line." type:"path"`
	ClockRate    float64 `hidden:"" help:"Speed of this process's clock, for tests." default:"1"`
}

// Run carries out the roles that this instance holds, until it is stopped: a step of a role with a receiver sends it one
// effect, a step of the discovery role checks that this instance follows discovery for the fleet.
func (c *singletonRunCmd) Run() error {
	fleet, log, err := c.open(c.Name)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	history, closeHistory, err := c.openHistory()
	if err != nil {
		return err
	}
	defer closeHistory()
	opts := c.clientOptions(fleet, log, history)
	var cache *discoverycache.Cache // set below, because it needs the client; no step runs before client.Run
	servesCache := fleet.DiscoveryRole != "" && c.CacheAddress != ""
	if servesCache {
		opts.Addr = c.CacheAddress
		opts.Steps[fleet.DiscoveryRole] = func(context.Context, leaseclient.Perform) error {
			if !cache.FollowsDiscovery() {
				return errors.New("discovery is not reachable from here")
			}
			return nil
		}
	}
	client, err := leaseclient.New(opts)
	if err != nil {
		return err
	}
	if !servesCache {
		client.Run(ctx)
		return nil
	}
	cache = newDiscoveryCache(fleet, client, log)
	return runWithCache(ctx, client, cache, c.CacheAddress, log)
}

func (c *singletonRunCmd) clientOptions(fleet *deployfile.Fleet, log *slog.Logger, history io.Writer) leaseclient.Options {
	opts := leaseclient.Options{
		Fleet:       fleet.Name,
		Name:        c.Name,
		Incarnation: singleton.Incarnation(rand.Uint64()),
		Zone:        c.Zone,
		Build:       c.Build,
		Settings:    fleet.Settings,
		Log:         log,
		ClockRate:   c.ClockRate,
		Members:     fleet.Members,
		Steps:       map[string]leaseclient.Step{},
	}
	for role, receiver := range fleet.Receivers {
		opts.Steps[role] = leaseclient.EffectSender(receiver, c.Name, history)
	}
	return opts
}

// openHistory opens the history file for appending. If no file is given, it discards the history.
func (c *singletonRunCmd) openHistory() (history io.Writer, closeFile func() error, err error) {
	if c.History == "" {
		return io.Discard, func() error { return nil }, nil
	}
	file, err := os.OpenFile(c.History, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("open history: %w", err)
	}
	return file, file.Close, nil
}

// newDiscoveryCache returns a copy of discovery's list that follows the holder of the discovery role, or discovery itself
// while this instance is the holder.
func newDiscoveryCache(fleet *deployfile.Fleet, client *leaseclient.Client, log *slog.Logger) *discoverycache.Cache {
	return discoverycache.New(discoverycache.Options{
		Discovery:      fleet.DiscoveryAddress,
		FallbackSpread: time.Duration(fleet.Settings.LeaseDuration) * time.Microsecond,
		Log:            log,
		Holder: func() discoverycache.Holder {
			holder := client.LocateHolder(fleet.DiscoveryRole)
			return discoverycache.Holder{Address: holder.Addr, Token: uint64(holder.Token), IsLocal: holder.IsLocal}
		},
	}, time.Now())
}

// runWithCache serves the cache at addr while the client runs. It waits for the goroutines that it starts.
func runWithCache(ctx context.Context, client *leaseclient.Client, cache *discoverycache.Cache, addr string,
	log *slog.Logger) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("discovery cache: %w", err)
	}
	running, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: cache, ReadHeaderTimeout: readHeaderTimeout}
	var all sync.WaitGroup
	all.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("discovery cache stopped", "error", err)
		}
	})
	all.Go(func() { cache.Run(running) })
	client.Run(ctx)
	cancel()
	server.Close()
	all.Wait()
	return nil
}
