// Command pumiceline-proxy runs a machine's part in the data plane of the system: it takes clients' requests and passes each
// to a backend that holds the requested model.
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
	"pumiceline/internal/dataplane/proxy"
)

func main() {
	flags := flag.NewFlagSet("pumiceline-proxy", flag.ContinueOnError)
	level := flags.String("log-level", "info", "least level that is logged: debug, info, warning or error")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("PUMICELINE")); err != nil {
		os.Exit(2)
	}
	if err := run(*level); err != nil {
		logrus.WithError(err).Error("pumiceline-proxy ends")
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
	return proxy.Run(ctx, settings)
}
