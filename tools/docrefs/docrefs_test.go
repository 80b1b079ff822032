package docrefs

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// pages are the pages that a newcomer reads first.
var pages = []string{
	"README.md",
	"CONTRIBUTING.md",
	"docs/architecture.md",
	"docs/glossary.md",
	"docs/design/control-state.md",
	"docs/coordination.md",
	"docs/design/coordination.md",
	"docs/design/system.md",
	"docs/runbook-control-plane.md",
	"docs/runbook-standalone.md",
	"docs/singleton.md",
	"docs/design/singleton.md",
	"docs/admission.md",
	"docs/design/admission.md",
	"docs/fleetsim.md",
	"docs/design/fleetsim.md",
	"docs/design/faulttest.md",
	"docs/design/standalone-operations.md",
	"docs/design/subset.md",
	"docs/design/deployments.md",
	"docs/CAPACITY.md",
}

func TestPagesNameExistingPathsAndSymbols(t *testing.T) {
	index, err := NewIndex("../..")
	require.NoError(t, err)
	for _, page := range pages {
		findings, err := index.Check(page)
		require.NoError(t, err)
		require.Empty(t, findings)
	}
}

func TestIndex_Check(t *testing.T) {
	root := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(root, name)), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(root, name), []byte(text), 0o600))
	}
	write("internal/ring/ring.go", "package ring\n\ntype Ring[T any] struct{ Size int }\n\n"+
		"func (r *Ring[T]) Write() {}\n\nfunc Open() {}\n\nconst Max = 1\n")
	write("page.md", "`ring.Open` `ring.Max` `ring.Ring.Size` `ring.Ring.Write` `internal/ring` `other.Thing` "+
		"`pumicectl status`\n"+
		"`ring.Close` `ring.Ring.Read` `internal/ring/gone.go`\n")

	index, err := NewIndex(root)
	require.NoError(t, err)
	findings, err := index.Check("page.md")
	require.NoError(t, err)
	require.Equal(t, []string{
		"page.md:2: `ring.Close` is not a symbol of package ring",
		"page.md:2: `ring.Ring.Read` is not a symbol of package ring",
		"page.md:2: `internal/ring/gone.go` does not exist",
	}, findings)
}
