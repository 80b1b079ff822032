// Package process is what the system's processes share from their start to their end: flags, logs, the settings file and
// the signals of the platform.
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
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Run is the part of a process that differs; it serves until ctx ends and then stops in order.
type Run func(ctx context.Context, settings *bootstrap.Settings) error

// Main runs a process called name to its end and exits.
func Main(name string, run Run) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	level := flags.String("log-level", "info", "least level that is logged: debug, info, warning or error")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("PUMICELINE")); err != nil {
		os.Exit(exitUsage)
	}
	if err := start(*level, run); err != nil {
		logrus.WithError(err).Error(name + " ends")
		os.Exit(exitFailure)
	}
}

func start(level string, run Run) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "--log-level")
	}
	logrus.SetLevel(parsed)
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	settings.ApplyRuntime()
	// The settings that change during a process's life are read by none of them: a new file counts from the next start.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, settings)
}
