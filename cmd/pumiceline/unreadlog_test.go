package main

import (
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A process whose log nobody reads serves as any other, and ends in order: the reader has gone, or has stopped.
func TestServe_OutlastsUnreadLog(t *testing.T) {
	const pipeBytes = 4096 // the smallest capacity of a pipe
	for _, name := range []string{"reader gone", "reader stopped"} {
		t.Run(name, func(t *testing.T) {
			var ends [2]int
			if err := unix.Pipe2(ends[:], unix.O_CLOEXEC); err != nil {
				t.Fatal(err)
			}
			reader, writer := os.NewFile(uintptr(ends[0]), "reader"), os.NewFile(uintptr(ends[1]), "writer")
			t.Cleanup(func() { reader.Close(); writer.Close() })
			if name == "reader gone" {
				reader.Close()
			} else {
				if _, err := unix.FcntlInt(uintptr(ends[1]), unix.F_SETPIPE_SZ, pipeBytes); err != nil {
					t.Fatal(err)
				}
				if _, err := unix.Write(ends[1], make([]byte, pipeBytes)); err != nil {
					t.Fatal(err)
				}
			}
			c := newCluster(t, 64)
			c.stderr = writer
			p := c.start(c.discovery)
			c.awaitReady(p)
			if err := p.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := p.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
