// Command example runs a fake discovery and three fake backends at the addresses that config.json expects.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"time"

	"pumiceline/internal/fake/fakestandalone"
)

// Addresses that config.json uses.
const (
	host             = "127.0.0.1"
	discoveryAddress = host + ":8500"
	firstBackendPort = 9001
	lastBackendPort  = 9003
)

// serviceTime is the mean time in which a backend serves a request.
const serviceTime = 50 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

// run serves until it is interrupted.
func run() error {
	discovery, err := net.Listen("tcp", discoveryAddress)
	if err != nil {
		return fmt.Errorf("listen for discovery: %w", err)
	}
	var backends []net.Listener
	for port := firstBackendPort; port <= lastBackendPort; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return fmt.Errorf("listen for backend: %w", err)
		}
		backends = append(backends, ln)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Printf("fake discovery at %s, backends at %s:%d to %d; interrupt to end\n", discoveryAddress, host, firstBackendPort,
		lastBackendPort)
	zones := []string{"ub-east"}
	return fakestandalone.NewEnvironment(discovery, backends, zones, fakestandalone.SleepAbout(serviceTime)).Serve(ctx)
}
