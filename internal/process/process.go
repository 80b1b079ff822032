// Package process is what the commands of the system share from their start to their end: flags, logging, the settings
// file and the signals of the platform.
package process

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/logkey"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// environmentPrefix begins the variables that stand for flags, such as PUMICELINE_LOG_LEVEL.
const environmentPrefix = "PUMICELINE"

// Run is what a command does: it serves until ctx ends, then shuts down gracefully and returns.
type Run func(ctx context.Context, settings *bootstrap.Settings) error

// Main runs a command to its end and exits. ctx of run ends with SIGTERM or an interrupt.
func Main(name string, run Run) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	level := flags.String("log-level", "info", "lowest level that is logged: debug, info, warning or error")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		os.Exit(exitUsage)
	}
	if err := start(*level, run); err != nil {
		logrus.WithError(err).WithField(logkey.Program, name).Error("process failed")
		os.Exit(exitFailure)
	}
}

func start(logLevel string, run Run) error {
	level, err := logrus.ParseLevel(logLevel)
	if err != nil {
		return errors.Wrap(err, "--log-level")
	}
	logrus.SetLevel(level)
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	settings.ApplyRuntimeLimits()
	// The platform sends SIGHUP when it has changed the settings file. None of what may change is read by the system's
	// processes: a new file counts from the next start.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, settings)
}
