// Command pumiceline-coordinator runs a machine's part in the control plane of the system: the agreed configuration,
// the list of backends and the placement of models.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/coordinator"
)

func main() {
	flags := flag.NewFlagSet("pumiceline-coordinator", flag.ContinueOnError)
	level := flags.String("log-level", "info", "least level that is logged: debug, info, warning or error")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("PUMICELINE")); err != nil {
		os.Exit(2)
	}
	if err := run(*level); err != nil {
		logrus.WithError(err).Error("pumiceline-coordinator ends")
		os.Exit(1)
	}
}

func run(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	logrus.SetLevel(parsed)
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	settings.ApplyRuntime()
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return coordinator.Run(ctx, settings)
}
