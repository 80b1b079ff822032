// Package process runs the commands of the system from start to exit. It handles what they share: flags, logging, the
// settings file, the signals of the platform and the record of how the process ended.
package process

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/logkey"
	"pumiceline/internal/logwriter"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// environmentPrefix is the prefix of the environment variables that set flags, such as PUMICELINE_LOG_LEVEL.
const environmentPrefix = "PUMICELINE"

const (
	// defaultSettingsWait is how long the settings file may be missing or wrong before the process ends.
	defaultSettingsWait = 10 * time.Second
	// logFlushTimeout is how long the end of the process waits for the reader of the log.
	logFlushTimeout = 200 * time.Millisecond
)

// Run is the body of a command. It serves until ctx ends, then shuts down gracefully and returns.
type Run func(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) error

// options are the values of the flags.
type options struct {
	logLevel     string
	settingsWait time.Duration
}

// Main runs a command. The context of run ends on SIGTERM or an interrupt. If the command fails, Main exits the process
// with a non-zero code. The last line of the log has the reason of the end.
func Main(name string, run Run) {
	var o options
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.StringVar(&o.logLevel, "log-level", "info", "lowest level that is logged: debug, info, warning or error")
	flags.DurationVar(&o.settingsWait, "settings-wait", defaultSettingsWait, "how long the settings file may be missing or wrong before the process ends")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := handleSignals()
	defer stop()
	log := logwriter.New(os.Stderr)
	logrus.SetOutput(log)
	code := start(ctx, name, o, run, lifecycle.NewProcess(log.Dropped))
	log.Flush(logFlushTimeout)
	os.Exit(code)
}

// handleSignals returns a context that ends on SIGTERM or an interrupt.
//
// SIGHUP is ignored: the platform sends it when it has changed the settings file. The processes use none of the settings
// that may change, so a new file takes effect at the next start. SIGPIPE is ignored, as it would end the process when
// the reader of the log has gone.
func handleSignals() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// start runs a command, records its end and returns the exit code.
func start(ctx context.Context, name string, o options, run Run, process *lifecycle.Process) int {
	settings, err := prepare(ctx, o, process)
	if err != nil {
		return end(ctx, name, err)
	}
	recorder := lifecycle.NewEndRecorder(process, settings.StateDir, name)
	err = run(ctx, settings, process)
	recorder.Record(exitCode(ctx, err), reason(ctx, err))
	return end(ctx, name, err)
}

// prepare sets the log level, and reads the settings once they are complete.
func prepare(ctx context.Context, o options, process *lifecycle.Process) (*bootstrap.Settings, error) {
	level, err := logrus.ParseLevel(o.logLevel)
	if err != nil {
		return nil, errors.Wrap(err, "--log-level")
	}
	logrus.SetLevel(level)
	settings, err := awaitSettings(ctx, o.settingsWait, process)
	if err != nil {
		return nil, err
	}
	settings.ApplyRuntimeLimits()
	return settings, nil
}

// awaitSettings reads the settings file. While it is missing, incomplete or wrong it is read again, until timeout: the
// platform may be writing it.
func awaitSettings(ctx context.Context, timeout time.Duration, process *lifecycle.Process) (settings *bootstrap.Settings, err error) {
	waiting, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var fault error
	err = process.Until(waiting, "the settings file", func() error {
		settings, fault = bootstrap.Load()
		if errors.Is(fault, bootstrap.ErrNoFile) {
			return lifecycle.Permanent(fault)
		}
		return fault
	})
	if err == nil || ctx.Err() != nil {
		return settings, err
	}
	return nil, errors.Wrapf(fault, "settings are wrong for %v", timeout)
}

// end logs the end of the process, and returns its exit code.
func end(ctx context.Context, name string, err error) int {
	code := exitCode(ctx, err)
	entry := logrus.WithFields(logrus.Fields{logkey.Program: name, logkey.ExitCode: code})
	if code == exitSuccess {
		entry.WithField(logkey.Reason, reason(ctx, err)).Info("process ends")
	} else {
		entry.WithError(err).Error("process failed")
	}
	return code
}

// exitCode returns the exit code of a process. A process that was asked to stop while it waited has not failed.
func exitCode(ctx context.Context, err error) int {
	if err == nil || ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return exitSuccess
	}
	return exitFailure
}

// reason returns why the process ends.
func reason(ctx context.Context, err error) string {
	if exitCode(ctx, err) == exitFailure {
		return err.Error()
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return "the command is done"
}
