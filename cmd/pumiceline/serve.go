package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"pumiceline/internal/logwriter"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/server"
)

// gcPercent is how far the heap may grow, in percent of the live heap, before a garbage collection. The live heap is a
// few MB: at Go's default of 100 the collector runs several times a second and takes a fifth of a busy proxy's CPU. The
// memory limit bounds the heap.
const gcPercent = 400

// serveCmd is `pumiceline serve`.
type serveCmd struct {
	Config        string     `help:"Configuration file, in place of the one that ROUTER_CONFIG names." type:"path"`
	AdmissionFile string     `name:"admission" aliases:"door" help:"File of admission control (deploy/door.toml); none if it is not given." type:"path"`
	Level         slog.Level `help:"Lowest level of the log lines that are written." default:"INFO"`
}

// logFlushTimeout is how long the end of the program waits for the reader of the log.
const logFlushTimeout = 200 * time.Millisecond

// Run serves until SIGTERM or SIGINT, and reloads the configuration on SIGHUP.
func (s *serveCmd) Run() error {
	// Register for SIGHUP before anything else: until Notify, a SIGHUP ends the program.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	signal.Ignore(syscall.SIGPIPE) // it would end the program when the reader of the log has gone
	output := logwriter.New(os.Stderr)
	defer output.Flush(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: s.Level}))
	cfg, err := config.Load(s.Config, os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	debug.SetGCPercent(gcPercent)
	hotrestart.SetMemoryLimit(cfg.Limits.MemoryMB, 1)
	opts := server.Options{ReloadSignals: reloads, AdmissionFile: s.AdmissionFile,
		ReadConfig: func(current *config.Config) (*config.Config, error) {
			return config.Reload(s.Config, os.Getenv, current)
		}}
	return server.Run(stop, cfg, opts, log.With("proxy", cfg.Name))
}
