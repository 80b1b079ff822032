package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// SIGTERM ends a process in order, with exit code 0, at any time, and SIGHUP never ends it. "during start" sends SIGHUP
// and SIGTERM while the process reads its configuration; the configuration is a pipe, so that the process is certain to
// be reading when the signals come, and the reload after the SIGHUP blocks on that pipe. "twice" sends SIGTERM twice,
// with a SIGHUP before and between.
func TestServe_SignalsAtAnyMoment(t *testing.T) {
	t.Run("during start", func(t *testing.T) {
		c := newCluster(t, 64)
		text, err := os.ReadFile(c.configFile)
		if err != nil {
			t.Fatal(err)
		}
		c.configFile = filepath.Join(t.TempDir(), "pipe")
		if err := syscall.Mkfifo(c.configFile, 0o600); err != nil {
			t.Fatal(err)
		}
		p := c.start(c.discovery)
		pipe, err := os.OpenFile(c.configFile, os.O_WRONLY, 0) // blocks until the process opens it for reading
		if err != nil {
			t.Fatal(err)
		}
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			if err := p.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := pipe.Write(text); err != nil {
			t.Fatal(err)
		}
		pipe.Close()
		if err := p.Wait(); err != nil {
			t.Errorf("%v; the process's log:\n%s", err, p.log)
		}
	})
	t.Run("twice", func(t *testing.T) {
		c := newCluster(t, 64)
		p := c.start(c.discovery)
		c.awaitReady(p)
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			if err := p.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
		}
		if status, err := c.request(connectionPerRequest, "quick-quote", 1); err != nil || status != 200 {
			// The listening socket stays open, and a stopping process still accepts for 0.6 s.
			t.Errorf("request just after the signals: %d, %v", status, err)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("%v; the process's log:\n%s", err, p.log)
		}
	})
}
