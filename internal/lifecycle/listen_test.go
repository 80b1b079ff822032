package lifecycle

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 20 * time.Second

func TestProcess_ListenWaitsForPort(t *testing.T) {
	p := NewProcess(nil)
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := holder.Addr().String()
	listening := make(chan error, 1)
	go func() {
		listener, err := p.Listen(t.Context(), address)
		if err == nil {
			listener.Close()
		}
		listening <- err
	}()
	require.Eventually(t, func() bool { return len(p.Current()) == 1 }, testTimeout, time.Millisecond)
	assert.Equal(t, "listen on "+address, p.Current()[0].Condition)
	require.NoError(t, holder.Close())
	require.NoError(t, <-listening)
	assert.Empty(t, p.Current())
}

// Addresses that no waiting makes right are errors at once.
func TestProcess_ListenRejectsWrongAddress(t *testing.T) {
	for _, address := range []string{"127.0.0.1", "127.0.0.1:99999", "127.0.0.1:port"} {
		_, err := NewProcess(nil).Listen(t.Context(), address)
		assert.ErrorContains(t, err, address)
	}
}

// An address that the machine does not have may come.
func TestProcess_ListenWaitsForAddress(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := NewProcess(nil)
	result := make(chan error, 1)
	go func() {
		_, err := p.Listen(ctx, "192.0.2.1:8144") // TEST-NET-1: no machine has it
		result <- err
	}()
	require.Eventually(t, func() bool { return len(p.Current()) == 1 }, testTimeout, time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-result, context.Canceled)
}

// A listener that fails is opened again.
func TestProcess_ServeOutlastsFailedListener(t *testing.T) {
	p := NewProcess(nil)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	free.Close()
	listeners := make(chan net.Listener, 1)
	server := &http.Server{
		Handler:     http.NotFoundHandler(),
		BaseContext: func(listener net.Listener) context.Context { listeners <- listener; return context.Background() },
	}
	served := make(chan error, 1)
	go func() { served <- p.Serve(t.Context(), server, address, nil) }()
	require.NoError(t, (<-listeners).Close())
	(<-listeners).Addr() // the second one
	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	response.Body.Close()
	require.NoError(t, server.Shutdown(context.Background()))
	assert.NoError(t, <-served)
}

func TestWaits_PermanentErrorEndsWait(t *testing.T) {
	wrong := errors.New("wrong")
	var waits Waits
	attempts := 0
	err := waits.Until(t.Context(), "condition", func() error {
		attempts++
		if attempts < 3 {
			return errors.New("passes")
		}
		return Permanent(wrong)
	})
	assert.ErrorIs(t, err, wrong)
	assert.Equal(t, 3, attempts)
	assert.Empty(t, waits.Current())
	assert.NoError(t, Permanent(nil))
}
