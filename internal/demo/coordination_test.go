package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakesystem"
)

// Rule LOST: locks, numbers and puts that the coordinators acknowledged survive a kill and restart of all coordinators,
// and every call is answered.
func TestCoordinationCalls_SurviveRestartOfAllCoordinators(t *testing.T) {
	d := startCoordinators(t)
	a := &application{t: t, nodes: d.nodes}

	token := checkLocks(a)
	number := checkNumbers(a)
	put := checkKeys(a)
	if t.Failed() {
		return // the calls failed, so there is no acknowledged state to check after the restart
	}
	killAndRestart(t, d)

	assert.Equal(t, http.StatusConflict, a.acquire("a3").status, "POST /locks while another holds it")
	assert.Equal(t, http.StatusOK, a.release("a2", token).status)
	next := a.acquire("a3")
	assert.Equal(t, http.StatusOK, next.status)
	assert.Greater(t, next.FenceNo, token, "another holder's fencing token")
	assert.Greater(t, a.number("n1"), number)
	checkRead(a, put)
	checkWatch(a, put)
	again := a.call("PUT", "/cells/g.x", fmt.Sprintf(`{"value":"third","ifRevision":%d}`, put.Revision))
	assert.Equal(t, http.StatusOK, again.status)
	assert.Greater(t, again.Revision, put.Revision)
}

// checkLocks passes a lock from one application to another, which keeps it. It returns the fencing token of the second.
func checkLocks(a *application) uint64 {
	first := a.acquire("a1")
	assert.Equal(a.t, http.StatusOK, first.status, "POST /locks by the first")
	assert.Equal(a.t, http.StatusConflict, a.acquire("a2").status, "POST /locks while another holds it")
	again := a.acquire("a1")
	assert.Equal(a.t, http.StatusOK, again.status, "POST /locks by the holder")
	assert.GreaterOrEqual(a.t, again.FenceNo, first.FenceNo, "the holder's next fencing token")
	assert.Equal(a.t, http.StatusOK, a.renew("a1", again.FenceNo).status, "PUT /locks by the holder")
	for range 2 {
		assert.Equal(a.t, http.StatusOK, a.release("a1", again.FenceNo).status, "DELETE /locks, held or not")
	}
	second := a.acquire("a2")
	assert.Equal(a.t, http.StatusOK, second.status, "POST /locks by the second")
	assert.Greater(a.t, second.FenceNo, again.FenceNo, "another holder's fencing token")
	assert.Equal(a.t, http.StatusConflict, a.renew("a1", again.FenceNo).status, "PUT /locks by a former holder")
	return second.FenceNo
}

// checkNumbers draws two numbers and returns the second.
func checkNumbers(a *application) uint64 {
	first := a.number("n1")
	second := a.number("n1")
	assert.Greater(a.t, second, first, "numbers of one name")
	return second
}

// cellPut is an acknowledged put of the key g.x.
type cellPut struct {
	Name           string `json:"name"`
	Value          string `json:"value"`
	Revision       uint64 `json:"revision"`
	revisionBefore uint64 // revision of the group before the put, not 0
}

// checkKeys puts two keys of a group, and reads and watches the second.
func checkKeys(a *application) cellPut {
	first := a.call("PUT", "/cells/g.w", `{"value":"first","ifRevision":0}`)
	assert.Equal(a.t, http.StatusOK, first.status, "PUT /cells")
	assert.Positive(a.t, first.Revision)
	present := a.call("GET", "/watch/g.?after=0&waitMs=100", "")
	assert.Equal(a.t, http.StatusOK, present.status, "GET /watch for the present revision")
	assert.GreaterOrEqual(a.t, present.Revision, first.Revision)
	second := a.call("PUT", "/cells/g.x", `{"value":"second","ifRevision":0}`)
	assert.Equal(a.t, http.StatusOK, second.status, "PUT /cells")
	assert.Greater(a.t, second.Revision, present.Revision, "keys of a group share one count of revisions")
	repeated := a.call("PUT", "/cells/g.x", `{"value":"second","ifRevision":0}`)
	assert.Equal(a.t, http.StatusOK, repeated.status, "PUT /cells, sent again")
	assert.Equal(a.t, second.Revision, repeated.Revision, "revision of a put that is sent again")
	rejected := a.call("PUT", "/cells/g.x", `{"value":"rejected","ifRevision":0}`)
	assert.Equal(a.t, http.StatusPreconditionFailed, rejected.status, "PUT /cells over a later revision")
	assert.Equal(a.t, second.Revision, rejected.Revision, "revision of a 412")
	put := cellPut{Name: "g.x", Value: "second", Revision: second.Revision, revisionBefore: present.Revision}
	checkRead(a, put)
	checkWatch(a, put)
	return put
}

// checkRead reads the put back, at the coordinators in turn.
func checkRead(a *application, put cellPut) {
	for range a.nodes {
		read := a.call("GET", "/cells/g.x", "")
		assert.Equal(a.t, http.StatusOK, read.status, "GET /cells")
		assert.Equal(a.t, put.Value, read.Value)
		assert.Equal(a.t, put.Revision, read.Revision)
	}
}

// checkWatch resumes a watch from the revision saved before the put, at the coordinators in turn.
func checkWatch(a *application, put cellPut) {
	path := fmt.Sprintf("/watch/g.?after=%d&waitMs=100", put.revisionBefore)
	put.revisionBefore = 0 // an event has no value for this field, and the whole struct is compared
	for range a.nodes {
		watched := a.call("GET", path, "")
		assert.Equal(a.t, http.StatusOK, watched.status, "GET /watch from a saved revision")
		assert.Equal(a.t, []cellPut{put}, watched.Events)
		assert.GreaterOrEqual(a.t, watched.Revision, put.Revision)
	}
}

// application calls the coordinators in turn.
type application struct {
	t     *testing.T
	nodes []*node
	calls int
}

// answer is the final answer to a call; what an answer does not carry is zero.
type answer struct {
	status   int
	FenceNo  uint64    `json:"fenceNo"`
	Value    any       `json:"value"` // a float64 or a string
	Revision uint64    `json:"revision"`
	Events   []cellPut `json:"events"`
}

// acquire requests the lock l1 for 120 s, which is longer than the test.
func (a *application) acquire(owner string) answer {
	return a.call("POST", "/locks/l1", fmt.Sprintf(`{"owner":%q,"holdMs":120000}`, owner))
}

func (a *application) renew(owner string, token uint64) answer {
	return a.call("PUT", "/locks/l1", fmt.Sprintf(`{"owner":%q,"fenceNo":%d,"holdMs":120000}`, owner, token))
}

func (a *application) release(owner string, token uint64) answer {
	return a.call("DELETE", "/locks/l1", fmt.Sprintf(`{"owner":%q,"fenceNo":%d}`, owner, token))
}

// number takes the next number of a name.
func (a *application) number(name string) uint64 {
	drawn := a.call("POST", "/numbers/"+name, "{}")
	assert.Equal(a.t, http.StatusOK, drawn.status, "POST /numbers")
	value, _ := drawn.Value.(float64) // the numbers of a test are small
	return uint64(value)
}

// call sends a call to the coordinators in turn until one gives a final answer: any answer within a second but a 5xx or
// a 429.
func (a *application) call(method, path, body string) answer {
	a.t.Helper()
	ctx, cancel := context.WithTimeout(a.t.Context(), startTimeout)
	defer cancel()
	for {
		n := a.nodes[a.calls%len(a.nodes)]
		a.calls++
		got, err := callOnce(ctx, method, "http://"+n.controlAddress()+path, body)
		if err == nil && got.status != http.StatusTooManyRequests && got.status < http.StatusInternalServerError {
			return got
		}
		if ctxtime.Sleep(ctx, pollInterval) != nil {
			require.FailNow(a.t, "no answer came in time", "%s %s: status %d, %v", method, path, got.status, err)
		}
	}
}

func callOnce(ctx context.Context, method, url, body string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode}
	err = json.NewDecoder(response.Body).Decode(&got)
	if got.status == http.StatusOK && err != nil && !errors.Is(err, io.EOF) { // EOF: the answer has no body
		return answer{}, errors.Wrap(err, "read the answer")
	}
	return got, nil
}

// startCoordinators starts three coordinators, each with its own state folder, and a platform without backends.
func startCoordinators(t *testing.T) *demo {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "pumiceline/cmd/pumiceline-coordinator")
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	d := &demo{opts: Options{Programs: dir, Log: io.Discard}, dir: dir, platform: &fakesystem.Platform{}}
	t.Cleanup(d.close)
	require.NoError(t, d.platform.Start())
	ports, err := freePorts()
	require.NoError(t, err)
	var seeds []string
	for i := range coordinatorCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", nodeIP(i), ports.control))
	}
	for i := range coordinatorCount {
		n := &node{
			Name: fmt.Sprintf("coordinator-%d", i), IP: nodeIP(i), Zone: fmt.Sprintf("z%d", i),
			FrontPort: ports.client, ReadyPort: ports.ready, ControlPort: ports.control,
			FirstPort: ports.first, LastPort: ports.first + 1,
			SeedNodes: seeds, FirstStart: true, PlatformAddress: d.platform.Address, program: coordinatorProgram,
		}
		n.StateDir = filepath.Join(dir, n.Name)
		d.nodes = append(d.nodes, n)
		require.NoError(t, d.startNode(n))
	}
	return d
}

// killAndRestart kills all coordinators before it restarts the first one, so that none keeps the state in memory.
func killAndRestart(t *testing.T, d *demo) {
	for _, n := range d.nodes {
		n.process.kill()
	}
	for _, n := range d.nodes {
		n.FirstStart = false
		require.NoError(t, d.startNode(n))
	}
}
