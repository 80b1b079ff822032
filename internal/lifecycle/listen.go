package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
)

// Listen opens a TCP listener. It waits while another process holds the port, the address is not there yet, or the
// machine is short of descriptors or memory. It returns an error if the address is invalid or not permitted, or
// ctx.Err() if ctx ends first.
func (p *Process) Listen(ctx context.Context, address string) (listener net.Listener, err error) {
	err = p.Until(ctx, "listen on "+address, func() error {
		listener, err = net.Listen("tcp", address)
		if err != nil && !passes(err) {
			return Permanent(err)
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// passes reports whether the cause of an error of net.Listen can pass without a change of the settings.
func passes(err error) bool {
	var code syscall.Errno
	if !errors.As(err, &code) {
		return false // the address is malformed
	}
	switch code {
	case syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT:
		return false
	}
	return true
}

// Serve serves at an address until the server is shut down, and then returns nil. It waits for the address as Listen
// does, and opens the listener again if it fails. If wrap is not nil, it calls wrap each time that the listener is open,
// and serves on what that returns. An empty address is not served: Serve waits until ctx ends.
func (p *Process) Serve(ctx context.Context, server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	for {
		listener, err := p.Listen(ctx, address)
		if err != nil {
			return err
		}
		if wrap != nil {
			listener = wrap(listener)
		}
		err = server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		logrus.WithError(err).WithField(logkey.Address, address).Error("listener failed; opening it again")
	}
}
