// Package process runs the commands of the system from start to exit. It handles what they share: flags, logging, the
// settings file and the signals of the platform.
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

// environmentPrefix is the prefix of the environment variables that set flags, such as PUMICELINE_LOG_LEVEL.
const environmentPrefix = "PUMICELINE"

// Run is the body of a command. It serves until ctx ends, then shuts down gracefully and returns.
type Run func(ctx context.Context, settings *bootstrap.Settings) error

// Main runs a command. The context of run ends on SIGTERM or an interrupt. If the command fails, Main exits the process
// with a non-zero code.
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
	// The platform sends SIGHUP when it has changed the settings file. The processes use none of the settings that may
	// change, so a new file takes effect at the next start. If SIGHUP were not ignored, it would end the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, settings)
}
