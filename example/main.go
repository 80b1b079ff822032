// Command example runs a stand-in discovery and three stand-in destinations at the addresses that config.json expects.
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

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run() error {
	discovery, err := net.Listen("tcp", "127.0.0.1:8500")
	if err != nil {
		return err
	}
	var destinations []net.Listener
	for port := 9001; port <= 9003; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return err
		}
		destinations = append(destinations, ln)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Println("stand-in discovery at 127.0.0.1:8500, destinations at 127.0.0.1:9001 to 9003; interrupt to end")
	return fakestandalone.NewWorld(discovery, destinations, []string{"ub-east"}, fakestandalone.Sleep(50*time.Millisecond)).Serve(ctx)
}
