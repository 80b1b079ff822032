package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadRules(t *testing.T) {
	rules, err := readRules(strings.NewReader("# comment\n\na/b no-clock except x.go y.go\nc no-time\n"))
	require.NoError(t, err)
	require.Equal(t, []Rule{
		{Folder: "a/b", Level: NoClock, Except: map[string]bool{"x.go": true, "y.go": true}},
		{Folder: "c", Level: NoTime, Except: map[string]bool{}},
	}, rules)
}

func TestReadRules_ReportsInvalidLine(t *testing.T) {
	for name, test := range map[string]struct{ list, want string }{
		"no level":         {"a no-clock\nb\n", "line 2: want a folder and a level"},
		"unknown level":    {"a pure\n", `line 1: level is "pure"`},
		"no excepted file": {"a no-clock except\n", "line 1: want \"except\" and names of files"},
		"no except":        {"a no-clock x.go\n", "line 1: want \"except\" and names of files"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readRules(strings.NewReader(test.list))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestCheck_FindsClockAndNetwork(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	write("clock.go", "package p\n\nimport clock \"time\"\n\nvar now, unit = clock.Now(), clock.Second\n")
	write("network.go", "package p\n\nimport _ \"net/http\"\n")
	write("request.go", "package p\n\nimport \"net/http\"\n\nvar status, get = http.StatusOK, http.Get\n")
	write("pure.go", "package p\n\nimport \"time\"\n\nconst Unit = time.Second\n")
	write("pure_test.go", "package p\n\nimport _ \"os\"\n")

	findings, err := check(Rule{Folder: folder, Level: NoClock})
	require.NoError(t, err)
	require.Len(t, findings, 3)
	require.Contains(t, findings[0], "clock.go:5:17: uses time.Now")
	require.Contains(t, findings[1], "network.go:3:8: imports net/http")
	require.Contains(t, findings[2], "request.go:5:34: uses net/http.Get")

	except := map[string]bool{"clock.go": true, "network.go": true, "request.go": true}
	findings, err = check(Rule{Folder: folder, Level: NoClock, Except: except})
	require.NoError(t, err)
	require.Empty(t, findings)
}

func TestCheck_RefusesAFolderWithoutFiles(t *testing.T) {
	_, err := check(Rule{Folder: t.TempDir(), Level: NoClock})
	require.ErrorContains(t, err, "no Go file")
}

// This command imports os. Package edf and its dependencies import no forbidden package.
func TestCheckDependencies(t *testing.T) {
	t.Chdir("../..")
	findings, err := checkDependencies("tools/purity")
	require.NoError(t, err)
	require.Contains(t, findings, "tools/purity: depends on pumiceline/tools/purity, which imports os")
	findings, err = checkDependencies("internal/edf")
	require.NoError(t, err)
	require.Empty(t, findings)
}
