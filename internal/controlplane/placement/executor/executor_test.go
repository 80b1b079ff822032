package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/message"
)

// fakeBackend carries out commands as backends do, and records each as a line.
type fakeBackend struct {
	mutex     sync.Mutex
	models    map[message.ModelName][]string
	count     uint64
	inUse     bool
	lines     []string
	intercept func(b *fakeBackend, command Command) int // returns a status to answer with; 0: the command is carried out
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.URL.Path == "/report" {
		b.report(w)
		return
	}
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := b.execute(command)
	name := command.Model
	if command.Adapter != "" {
		name = name.WithAdapter(command.Adapter)
	}
	b.lines = append(b.lines, fmt.Sprintf("%s %s if %d: %d", command.Operation, name, *command.IfRevision, status))
	w.WriteHeader(status)
}

func (b *fakeBackend) execute(command Command) int {
	if b.intercept != nil {
		if status := b.intercept(b, command); status != 0 {
			return status
		}
	}
	if b.inUse || command.IfRevision != nil && *command.IfRevision != b.count {
		return http.StatusConflict
	}
	b.count++
	switch {
	case command.Operation == UnloadModel && command.Adapter == "":
		delete(b.models, command.Model)
	case command.Operation == UnloadModel:
		isNamed := func(adapter string) bool { return adapter == command.Adapter }
		b.models[command.Model] = slices.DeleteFunc(b.models[command.Model], isNamed)
	case command.Adapter != "":
		b.models[command.Model] = append(b.models[command.Model], command.Adapter)
	default:
		b.models[command.Model] = []string{}
	}
	return http.StatusAccepted
}

func (b *fakeBackend) report(w http.ResponseWriter) {
	type model struct {
		Name     message.ModelName `json:"name"`
		Adapters []string          `json:"adapters"`
	}
	models := []model{}
	for name, adapters := range b.models {
		models = append(models, model{name, adapters})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"models": models, "inUse": b.inUse, "callCount": b.count})
}

// run carries out a task at the backend. If token is nil, the lease is held.
func (b *fakeBackend) run(t *testing.T, task planner.Task, token TokenFunc) ([]message.LoadedModel, error) {
	t.Helper()
	server := httptest.NewServer(b)
	defer server.Close()
	task.Backend.ID, task.Backend.Address = "i", strings.TrimPrefix(server.URL, "http://")
	task.Capacity = planner.Capacity{Runtime: &configuration.Runtime{
		WeightCapacityMB: 210, AdapterSlots: 2, Models: []configuration.Model{
			{Name: "m", WeightsMB: 100, AdapterMB: 1}, {Name: "n", WeightsMB: 100, AdapterMB: 1}, {Name: "o", WeightsMB: 100},
		},
	}}
	if token == nil {
		token = func() (message.FencingToken, bool) { return 7, true }
	}
	executor := &Executor{
		Client: NewBackendClient(), Owner: "me", LeaseToken: token,
		OnModelsChanged: func(message.BackendID, []message.LoadedModel) {},
		OnLoadStarted:   func(message.BackendID) {},
		Sleep:           func(context.Context, time.Duration) error { return nil },
	}
	return executor.Run(context.Background(), &task)
}

func TestExecutor_CarriesOutTaskInOrder(t *testing.T) {
	b := &fakeBackend{models: map[message.ModelName][]string{"m": {}, "n": {}}, count: 4}
	task := planner.Task{Unload: []message.ModelName{"n"}, Load: "o", LoadAdapters: []message.ModelName{"m/a1"}}
	_, err := b.run(t, task, nil)
	require.NoError(t, err)
	assert.Equal(t, []string{
		"model_unload n if 4: 202", "model_load o if 5: 202", "model_load m/a1 if 6: 202",
	}, b.lines)
}

// Regression test: a load that was cut off midway was missing from the list of models by which the next load was
// planned, so that load went beyond the capacity.
func TestExecutor_SendsNoLoadBeyondCapacity(t *testing.T) {
	b := &fakeBackend{models: map[message.ModelName][]string{"m": {}, "n": {}}}
	_, err := b.run(t, planner.Task{Load: "o"}, nil)
	assert.ErrorContains(t, err, "no capacity for o")
	assert.Empty(t, b.lines)
	b = &fakeBackend{models: map[message.ModelName][]string{"m": {"a1", "a2"}}}
	_, err = b.run(t, planner.Task{LoadAdapters: []message.ModelName{"m/a3"}}, nil)
	assert.ErrorContains(t, err, "no capacity for m/a3")
	assert.Empty(t, b.lines)
}

func TestExecutor_SendsNothingWithoutLease(t *testing.T) {
	b := &fakeBackend{models: map[message.ModelName][]string{"m": {}, "n": {}}}
	calls := 0
	_, err := b.run(t, planner.Task{Unload: []message.ModelName{"n"}, Load: "o"}, func() (message.FencingToken, bool) {
		calls++
		return 7, calls == 1
	})
	assert.ErrorIs(t, err, ErrFenced)
	assert.Equal(t, []string{"model_unload n if 0: 202"}, b.lines)
}

// A command of the previous lease holder that arrives between the report and the command changes the command count. The
// executor then reads the report again.
func TestExecutor_ReadsStateAfterConflict(t *testing.T) {
	b := &fakeBackend{models: map[message.ModelName][]string{"m": {}}}
	once := true
	b.intercept = func(b *fakeBackend, command Command) int {
		if once {
			once = false
			b.count++
			b.models["n"] = []string{}
			return http.StatusConflict
		}
		return 0
	}
	_, err := b.run(t, planner.Task{Load: "o"}, nil)
	assert.ErrorContains(t, err, "no capacity for o")
	assert.Equal(t, []string{"model_load o if 0: 409"}, b.lines)
}

func TestParseReport_Invalid(t *testing.T) {
	for text, want := range map[string]string{
		`{"models":`: "not valid JSON", `{"inUse":false}`: "without models",
	} {
		_, err := parseReport([]byte(text))
		assert.ErrorContains(t, err, want)
	}
}
