package coordination

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

var (
	lockKinds = []message.CallKind{message.CallAcquire, message.CallRenew, message.CallRelease}
	keyKinds  = []message.CallKind{message.CallPut, message.CallGet, message.CallWatch}
	allKinds  = slices.Concat(lockKinds, keyKinds, []message.CallKind{message.CallNumber})
)

// exploration visits every world that can be reached in a number of actions. Worlds with the same key have the same
// possible futures, so they are visited only once.
type exploration struct {
	seed    maphash.Seed
	visited map[uint64]int // by the hash of the world's key: the largest depth left at a visit
	trace   []action       // the actions that lead to the visited world
}

// explore visits a world and all that follow from it. It returns the first violated rule with the trace that leads to
// it.
func (e *exploration) explore(w *world, depth int) error {
	hash := maphash.String(e.seed, w.key())
	if left, isVisited := e.visited[hash]; isVisited && left >= depth {
		return nil
	}
	e.visited[hash] = depth
	if depth == 0 {
		return nil
	}
	for _, action := range w.actions() {
		e.trace = append(e.trace, action)
		next := w.clone()
		if err := next.apply(action); err != nil {
			return fmt.Errorf("%w after %v", err, e.trace)
		}
		if err := e.explore(next, depth-1); err != nil {
			return err
		}
		e.trace = e.trace[:len(e.trace)-1]
	}
	return nil
}

// key describes everything on which the possible futures of a world depend. Times are relative to now.
func (w *world) key() string {
	var text strings.Builder
	fmt.Fprint(&text, w.bounds.ticks-w.now, w.bounds.restarts, w.epoch, w.issuer, w.checks)
	appliedByAll := len(w.log)
	for i, member := range w.members {
		if w.isCurrent(i) {
			appliedByAll = min(appliedByAll, member.applied)
		}
	}
	for i, member := range w.members {
		state := member.machine.Snapshot(w.timeOf(i))
		packed, _ := state.MarshalMsg(nil)
		text.Write(packed)
		fmt.Fprint(&text, "|", member.epoch, member.applied)
	}
	for _, entry := range w.log[appliedByAll:] {
		fmt.Fprint(&text, "|", w.describe(entry.attempt), entry.answer)
		for _, change := range entry.changes {
			fmt.Fprint(&text, change.Hold, change.Release, change.Number, change.Put)
		}
	}
	fmt.Fprint(&text, "|", len(w.log)-w.released)
	var inFlight []string
	for _, request := range w.requests {
		inFlight = append(inFlight, w.describe(request))
	}
	for _, reply := range w.replies {
		if w.callers[reply.attempt.caller].waitsFor == reply.attempt { // callers ignore all other replies
			inFlight = append(inFlight, fmt.Sprint(w.describe(reply.attempt), reply.answer))
		}
	}
	slices.Sort(inFlight)
	fmt.Fprint(&text, "|", inFlight)
	for i, caller := range w.callers {
		fmt.Fprint(&text, "|", w.describe(caller.waitsFor), caller.calls, caller.repeats, caller.crashes,
			caller.revisions, caller.watched, caller.puts, caller.token)
		if w.isHolder(i) {
			fmt.Fprint(&text, " holds ", caller.holdsUntil-w.now)
		}
	}
	return text.String()
}

// describe returns the part of an attempt on which the future depends. The sending time and the results seen before
// count only while its caller waits for the attempt.
func (w *world) describe(attempt attempt) string {
	if attempt.number == 0 {
		return "none"
	}
	text := fmt.Sprint(attempt.caller, *attempt.call)
	if w.callers[attempt.caller].waitsFor == attempt {
		text += fmt.Sprint(" waits ", min(w.now-attempt.sentAt, worldHold), attempt.seen)
	}
	return text
}

func TestExploration_ViolatesNoRule(t *testing.T) {
	tests := []struct {
		name   string
		bounds worldBounds
		depth  int
	}{
		{"locks", worldBounds{kinds: lockKinds, ticks: 4, calls: 3, repeats: 1, crashes: 1, restarts: 1, issuers: 2}, 6},
		{"keys", worldBounds{kinds: keyKinds, ticks: 0, calls: 3, repeats: 1, restarts: 1, issuers: 2}, 5},
		{"all", worldBounds{kinds: allKinds, ticks: 3, calls: 3, repeats: 1, crashes: 1, restarts: 1, issuers: 2}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &exploration{seed: maphash.MakeSeed(), visited: map[uint64]int{}}
			require.NoError(t, e.explore(newWorld(noDefect, test.bounds), test.depth))
			t.Logf("%d worlds within %d actions", len(e.visited), test.depth)
		})
	}
}

const (
	walkSteps = 120
	walkSeeds = 200
	// rareActions is how many times rarer than other actions the rare ones are. Each of them happens only a few times in a
	// world.
	rareActions = 20
)

// walk applies random actions and returns the first violated rule.
func walk(defect defect, kinds []message.CallKind, seed uint64) error {
	w := newWorld(defect, worldBounds{kinds: kinds, ticks: 12, calls: 16, repeats: 8, crashes: 2, restarts: 4, issuers: 6})
	w.ignoresStates = defect != noDefect
	random := rand.New(rand.NewPCG(seed, 1))
	for range walkSteps {
		actions := w.actions()
		if len(actions) == 0 {
			return nil
		}
		if err := w.apply(pickAction(random, actions)); err != nil {
			return err
		}
	}
	return nil
}

// pickAction picks a random action. Changes of the issuer, restarts and crashes are picked rarely.
func pickAction(random *rand.Rand, actions []action) action {
	for {
		picked := actions[random.IntN(len(actions))]
		isRare := picked.kind == changeIssuer || picked.kind == restartMember || picked.kind == callerCrashes
		if !isRare || random.IntN(rareActions) == 0 {
			return picked
		}
	}
}

func TestWalks_ViolateNoRule(t *testing.T) {
	for _, kinds := range [][]message.CallKind{lockKinds, keyKinds, allKinds} {
		for seed := range walkSeeds {
			require.NoError(t, walk(noDefect, kinds, uint64(seed)), "seed %d", seed)
		}
	}
}

// Defects that violate a rule visible to callers must be found by checking only the callers' answers.
func TestWalks_FindPlantedDefects(t *testing.T) {
	tests := map[defect][]message.CallKind{
		measureFromBeforeReceipt: lockKinds, ignoreRenewals: lockKinds, releaseAnyToken: lockKinds,
		releaseAnyOwner: lockKinds, keepToken: lockKinds, loseTokens: lockKinds, endHoldsOnRestore: lockKinds,
		loseNumbers: allKinds, rejectRepeatedPuts: keyKinds,
		ignoreIfRevision: keyKinds, reportGroupRevision: keyKinds, loseRepeatedPuts: keyKinds,
	}
	for d, kinds := range tests {
		t.Run(d.String(), func(t *testing.T) {
			for seed := range walkSeeds {
				if err := walk(d, kinds, uint64(seed)); err != nil {
					t.Logf("seed %d: %s", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
