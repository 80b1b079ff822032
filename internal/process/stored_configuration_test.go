package process_test

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pumiceline/internal/dataplane/proxy"
)

// A document that an earlier version put in force with a closing brace too many, and that three coordinators find on
// their disks, is read back as a JSON document from each of them, applied by a proxy and changed by a PATCH. The sample was
// written by three coordinators of commit ea5990da that acknowledged version 11 and were then killed at once.
func TestConfiguration_UnreadableDocumentOnDisk(t *testing.T) {
	lockSampleAddresses(t)
	machines := lo.Times(clusterSize, func(i int) *machine {
		m := &machine{t: t, ip: fmt.Sprintf("127.251.3.%d", i+1), dir: t.TempDir()}
		unpackState(t, filepath.Join("testdata", "unreadable-configuration", fmt.Sprintf("state-%d.tar.gz", i)), m.dir)
		return m
	})
	c := newCluster(t, machines, false)
	c.startCoordinators()
	want := configurationText(11)
	for i := range c.machines {
		assert.JSONEq(t, want, c.readAt(i))
	}
	for i := range c.machines {
		status := c.statusAt(i)
		assert.Contains(t, status.ConfigFault, "text after the JSON value", "operators are told")
		assert.Equal(t, c.statusAt(0).ConfigDigest, status.ConfigDigest)
		c.coordinators[i].awaitLog("the configuration on disk is not valid")
	}
	c.awaitProxy(machines[0].start(proxyProgram))
	answer := c.call(configCall{http.MethodPatch, "11", `{"version":12,"add":{"services":[{"name":"q"}]}}`})
	assert.Equal(t, http.StatusOK, answer.status, answer.body)
	c.restartCoordinators()
	for i := range c.machines {
		assert.Contains(t, c.readAt(i), `"name":"q"`)
		assert.Empty(t, c.statusAt(i).ConfigFault, "the change has replaced the document")
	}
}

// awaitProxy waits until a proxy applies the configuration that the first coordinator has in force.
func (c *cluster) awaitProxy(p *process) {
	c.t.Helper()
	p.awaitListening()
	p.await("configuration in force", func() bool {
		var status proxy.Status
		if json.Unmarshal([]byte(p.status()), &status) != nil || status.Config == nil {
			return false
		}
		inForce := c.statusAt(0)
		return status.Config.Version == inForce.Version && status.Config.Digest == inForce.ConfigDigest
	})
}

// lockSampleAddresses keeps other runs of these tests from the addresses that the sample names, until the test ends.
func lockSampleAddresses(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "pumiceline-sample-addresses.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { file.Close() })
	require.NoError(t, unix.Flock(int(file.Fd()), unix.LOCK_EX))
}

// unpackState writes the files of an archive into a folder.
func unpackState(t *testing.T, archive, dir string) {
	t.Helper()
	packed, err := os.ReadFile(archive)
	require.NoError(t, err)
	unzipped, err := gzip.NewReader(bytes.NewReader(packed))
	require.NoError(t, err)
	for files := tar.NewReader(unzipped); ; {
		header, err := files.Next()
		if err == io.EOF { //nolint:errorlint // Next returns io.EOF itself
			return
		}
		require.NoError(t, err)
		path := filepath.Join(dir, filepath.Clean("/"+header.Name))
		if header.Typeflag == tar.TypeDir {
			require.NoError(t, os.MkdirAll(path, 0o700))
			continue
		}
		contents, err := io.ReadAll(files)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, contents, 0o600))
	}
}
