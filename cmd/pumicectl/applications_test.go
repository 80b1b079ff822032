package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/fake/fakecoordination"
	"pumiceline/internal/message"
)

// startSystem starts a fake coordinator, and makes it the default of --control.
func startSystem(t *testing.T) {
	t.Helper()
	system, err := fakecoordination.Start(2)
	require.NoError(t, err)
	t.Cleanup(system.Close)
	t.Setenv(addressesVariable, strings.Join(system.Addresses(), ","))
}

// run runs a command and returns its output.
func run(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := parseAndRun(t.Context(), t, &out, arguments)
	return strings.TrimSpace(out.String()), err
}

func parseAndRun(ctx context.Context, t *testing.T, out io.Writer, arguments []string) error {
	t.Helper()
	root := &ffcli.Command{
		Name:        "pumicectl",
		Subcommands: []*ffcli.Command{locksCommand(out), numbersCommand(out), keysCommand(out), watchCommand(out)},
	}
	require.NoError(t, root.Parse(arguments))
	return root.Run(ctx)
}

func TestLocksCommandsAcquireRenewAndRelease(t *testing.T) {
	startSystem(t)
	printed, err := run(t, "locks", "acquire", "--owner", "one", "--json", "l")
	require.NoError(t, err)
	var held lockState
	require.NoError(t, json.Unmarshal([]byte(printed), &held))
	assert.Equal(t, "l", held.Lock)
	assert.Equal(t, "one", held.Owner)
	assert.WithinDuration(t, time.Now().Add(defaultHold), held.Until, 10*time.Second)

	_, err = run(t, "locks", "acquire", "--owner", "two", "l")
	require.ErrorIs(t, err, coordinationclient.ErrHeld)
	token := json.Number(jsonField(t, printed, "fenceNo")).String()
	printed, err = run(t, "locks", "renew", "--owner", "one", "--token", token, "l")
	require.NoError(t, err)
	assert.Contains(t, printed, "token "+token)
	_, err = run(t, "locks", "renew", "--owner", "two", "--token", token, "l")
	require.ErrorIs(t, err, coordinationclient.ErrLost)
	printed, err = run(t, "locks", "release", "--owner", "one", "--token", token, "l")
	require.NoError(t, err)
	assert.Equal(t, "released", printed)
	_, err = run(t, "locks", "acquire", "--owner", "two", "l")
	require.NoError(t, err)
}

func jsonField(t *testing.T, object, name string) string {
	t.Helper()
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal([]byte(object), &fields))
	return string(fields[name])
}

func TestNumbersCommandDrawsIncreasingNumbers(t *testing.T) {
	startSystem(t)
	first, err := run(t, "numbers", "next", "--json", "n")
	require.NoError(t, err)
	second, err := run(t, "numbers", "next", "--json", "n")
	require.NoError(t, err)
	var a, b drawnNumber
	require.NoError(t, json.Unmarshal([]byte(first), &a))
	require.NoError(t, json.Unmarshal([]byte(second), &b))
	assert.Greater(t, b.Number, a.Number)
}

func TestKeysCommandsPutAndGet(t *testing.T) {
	startSystem(t)
	_, err := run(t, "keys", "get", "g.a")
	require.ErrorIs(t, err, coordinationclient.ErrNotFound)
	printed, err := run(t, "keys", "put", "g.a", "one")
	require.NoError(t, err)
	assert.Equal(t, "acknowledged at revision 1", printed)
	_, err = run(t, "keys", "put", "--if-revision", "0", "g.a", "two")
	var mismatch *coordinationclient.RevisionMismatchError
	require.ErrorAs(t, err, &mismatch)
	printed, err = run(t, "keys", "put", "--if-revision", "1", "--json", "g.a", "two")
	require.NoError(t, err)
	assert.JSONEq(t, `{"name":"g.a","value":"two","revision":2}`, printed)
	printed, err = run(t, "keys", "get", "g.a")
	require.NoError(t, err)
	assert.Equal(t, "2 two", printed)
	printed, err = run(t, "keys", "put", "g.a", "three")
	require.NoError(t, err)
	assert.Equal(t, "acknowledged at revision 3", printed)
	_, err = run(t, "keys", "put", "--if-revision", "-2", "g.a", "four")
	require.ErrorContains(t, err, "--if-revision")
}

// lineWriter cancels a context after a number of lines.
type lineWriter struct {
	bytes.Buffer
	left   int // lines until cancel is called
	cancel context.CancelFunc
}

func (w *lineWriter) Write(p []byte) (int, error) {
	if w.left -= bytes.Count(p, []byte("\n")); w.left <= 0 {
		w.cancel()
	}
	return w.Buffer.Write(p)
}

func TestWatchCommandPrintsPutsUntilInterrupted(t *testing.T) {
	startSystem(t)
	for i, value := range []string{"one", "two", "three"} {
		_, err := run(t, "keys", "put", "--if-revision", string(rune('0'+i)), "g.a", value)
		require.NoError(t, err)
	}
	for name, c := range map[string]struct {
		arguments []string
		lines     int
		want      string
	}{
		"text":    {[]string{"--after", "1", "g."}, 2, "2 g.a two\n3 g.a three\n"},
		"present": {[]string{"g."}, 1, "at revision 3; puts up to it are not shown\n"},
		"JSON":    {[]string{"--after", "2", "--json", "g."}, 1, `{"events":[{"name":"g.a","value":"three","revision":3}],"revision":3}` + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			out := &lineWriter{left: c.lines, cancel: cancel}
			require.NoError(t, parseAndRun(ctx, t, out, append([]string{"watch"}, c.arguments...)))
			assert.Equal(t, c.want, out.String())
		})
	}
}

func TestApplicationCommandsShowTheirUsageWithoutArguments(t *testing.T) {
	startSystem(t)
	for _, arguments := range [][]string{
		{"locks"}, {"locks", "acquire", "l"}, {"locks", "acquire", "--owner", "o"}, {"locks", "renew", "--owner", "o", "l"},
		{"locks", "release", "--owner", "o", "l"}, {"numbers"},
		{"numbers", "next"}, {"keys", "get"}, {"keys", "put", "g.a"}, {"watch"},
	} {
		_, err := run(t, arguments...)
		assert.ErrorIs(t, err, flag.ErrHelp, arguments)
	}
}

func TestApplicationCommandsNeedAnAddress(t *testing.T) {
	t.Setenv(addressesVariable, "")
	for _, arguments := range [][]string{
		{"locks", "acquire", "--owner", "o", "l"}, {"numbers", "next", "n"}, {"keys", "get", "g.a"}, {"watch", "g."},
	} {
		_, err := run(t, arguments...)
		assert.ErrorContains(t, err, "--control", arguments)
	}
}

func TestLockStateHasItsStoredKeys(t *testing.T) {
	encoded, err := json.Marshal(lockState{Lock: "l", Owner: "o", Token: message.FencingToken(41), Until: time.Unix(0, 0).UTC()})
	require.NoError(t, err)
	assert.JSONEq(t, `{"lock":"l","owner":"o","fenceNo":41,"until":"1970-01-01T00:00:00Z"}`, string(encoded))
}
