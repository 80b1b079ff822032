package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A SIGTERM ends a process in order, with 0, at whatever moment it comes: while the configuration is read, where it is certain to be,
// as that comes through a pipe, and the SIGHUP before it waits in vain to read that again; and twice, with a SIGHUP before and
// between. A SIGHUP alone ends it at no moment.
func TestSignalsAtAnyMoment(t *testing.T) {
	t.Run("while it starts", func(t *testing.T) {
		s := newScene(t, 64)
		text, err := os.ReadFile(s.file)
		if err != nil {
			t.Fatal(err)
		}
		s.file = filepath.Join(t.TempDir(), "pipe")
		if err := syscall.Mkfifo(s.file, 0o600); err != nil {
			t.Fatal(err)
		}
		p := s.begin(s.discovery)
		pipe, err := os.OpenFile(s.file, os.O_WRONLY, 0) // opens once the process has come to read it
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
			t.Errorf("%v; its log:\n%s", err, p.log)
		}
	})
	t.Run("twice", func(t *testing.T) {
		s := newScene(t, 64)
		p := s.begin(s.discovery)
		s.ready(p)
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			if err := p.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
		}
		if status, err := s.quote(single, "quick-quote", 1); err != nil || status != 200 { // the socket is lent, and 0.6 s are not over
			t.Errorf("a request just after: %d, %v", status, err)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("%v; its log:\n%s", err, p.log)
		}
	})
}
