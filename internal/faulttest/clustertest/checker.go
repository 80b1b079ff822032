package clustertest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/singleton"
	"pumiceline/internal/singleton/leaseclient"
)

const recorderPollInterval = 50 * time.Millisecond

// watchRecorder reads the latest accepted effect of each role until ctx ends, like a reader of the external system.
func (c *cluster) watchRecorder(ctx context.Context) (reads []porcupine.Operation) {
	ticker := time.NewTicker(recorderPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return reads
		case <-ticker.C:
		}
		for _, role := range c.roles {
			call := time.Now().UnixNano()
			last := c.lastAccepted(role).Effect
			reads = append(reads, porcupine.Operation{Input: singleton.Effect{Role: role}, Call: call, Output: last,
				Return: time.Now().UnixNano()})
		}
	}
}

// isLinearizable checks the responses that the instances and a reader got from the recorder. It reports whether there
// is an order of all effects and reads, each between its request and its response, in which a receiver that compares
// tokens gives these responses (Herlihy and Wing 1990). An effect without a response may take place at any time after
// its request, or never.
func (c *cluster) isLinearizable(reads []porcupine.Operation) (bool, error) {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.history"))
	if err != nil {
		return false, fmt.Errorf("list histories: %w", err)
	}
	all := reads
	for i, file := range files {
		operations, err := readHistory(file, 1+i)
		if err != nil {
			return false, err
		}
		all = append(all, operations...)
	}
	return porcupine.CheckOperations(fencedReceiver, all), nil
}

// readHistory reads the operations of an instance. The last line may be incomplete, if the instance was killed.
func readHistory(file string, client int) (operations []porcupine.Operation, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	pending := map[singleton.Effect]int{} // index among the operations
	for line := range bytes.Lines(text) {
		var r leaseclient.HistoryRecord
		if json.Unmarshal(line, &r) != nil {
			break
		}
		if r.Outcome == leaseclient.OutcomeSent {
			pending[r.Effect] = len(operations)
			operations = append(operations, porcupine.Operation{ClientId: client, Input: r.Effect, Call: r.At,
				Output: leaseclient.OutcomeUnknown, Return: math.MaxInt64})
		} else if i, sent := pending[r.Effect]; sent && r.Outcome != leaseclient.OutcomeUnknown {
			operations[i].Output, operations[i].Return = r.Outcome, r.At
		}
	}
	return operations, nil
}

// fencedReceiver is the model of a receiver that compares tokens. Its state is the latest accepted effect of a role. An
// input without a token is a read, whose output is that state; the output of an effect is its outcome. The model does
// not use singleton.FencingGuard, so that it finds faults of the guard.
var fencedReceiver = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byRole := map[string][]porcupine.Operation{}
		for _, o := range all {
			role := o.Input.(singleton.Effect).Role
			byRole[role] = append(byRole[role], o)
		}
		return slices.Collect(maps.Values(byRole))
	},
	Init: func() any { return singleton.Effect{} },
	Step: func(state, input, output any) (bool, any) {
		latest, e := state.(singleton.Effect), input.(singleton.Effect)
		if e.Token == 0 {
			return output == latest, latest
		}
		isNewer := e.Token > latest.Token || e.Token == latest.Token && e.Serial > latest.Serial
		next := latest
		if isNewer {
			next = e
		}
		return output == leaseclient.OutcomeUnknown || isNewer == (output == leaseclient.OutcomeAccepted), next
	},
}

// summarize counts the accepted effects, the changes of holders among them and the longest gap of each role.
func (r *Result) summarize(accepted []fakestandalone.AcceptedEffect) {
	r.Accepted = len(accepted)
	latest := map[string]fakestandalone.AcceptedEffect{} // by role
	for _, e := range accepted {
		if previous, known := latest[e.Role]; known {
			r.LongestGapS[e.Role] = max(r.LongestGapS[e.Role], e.At.Sub(previous.At).Seconds())
			if e.Token != previous.Token {
				r.HolderChanges++
			}
		}
		latest[e.Role] = e
	}
}
