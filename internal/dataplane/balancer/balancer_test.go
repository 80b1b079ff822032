package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

var start = time.Unix(1_000_000, 0)

const document = `{"version":1,"routes":[],"services":[{"name":"plain","maxConns":1000},{"name":"llm","maxConns":1000,
"runtime":{"capacity":64,"cacheTokens":100000,"weightsMb":200,"adapterSlots":4,"loadsPerS":2,
"models":[{"name":"m","weightsMb":60,"loadS":5,"adapters":4,"adapterMb":1},{"name":"n","weightsMb":60,"loadS":5}]}}]}`

func newBalancer(t *testing.T, backends ...message.Backend) *Balancer {
	t.Helper()
	b := New("here", NewRetryBudget(10*time.Second, 0.2, 60, start.Add(-time.Minute)))
	config, err := configuration.Parse([]byte(document))
	require.NoError(t, err)
	b.SetConfig(config, start)
	b.SetBackends(backends, start)
	return b
}

func plain(id message.BackendID) message.Backend {
	return message.Backend{ID: id, Service: "plain", Address: string(id) + ":1", Zone: "here", Capacity: 1000}
}

func holding(id message.BackendID, models ...message.ModelName) message.Backend {
	backend := message.Backend{ID: id, Service: "llm", Address: string(id) + ":1", Zone: "here", Capacity: 64}
	for _, model := range models {
		backend.Models = append(backend.Models, message.LoadedModel{Name: model})
	}
	return backend
}

func request(service string, model message.ModelName, now time.Time) *Request {
	return &Request{
		Service: service, Model: model, Arrived: now, Aim: time.Second, PromptTokens: 10, OutputTokens: 10,
		Deadline: now.Add(20 * time.Second), Patience: now.Add(20 * time.Second), grant: make(chan Grant, 1),
	}
}

// arrive returns what was decided at once; waiting is true where nothing was.
func arrive(b *Balancer, r *Request, now time.Time) (grant Grant, waiting bool) {
	b.Arrive(r, now)
	select {
	case grant = <-r.grant:
		return grant, false
	default:
		return Grant{}, true
	}
}

func TestTheWeightIsThatOfA58(t *testing.T) {
	e := &evidence{}
	now := start
	for i := range 40 {
		now = now.Add(500 * time.Millisecond)
		e.report(now, 200*time.Millisecond, i%4 == 3)
	}
	weight, ok := e.derived(now, 10)
	require.True(t, ok)
	rate := e.completions / evidenceMemory.Seconds()
	utilization := e.busySeconds / evidenceMemory.Seconds() / 10
	assert.InDelta(t, rate/(utilization+e.errors/e.completions*errorUtilizationPenalty), weight, 1e-9)
	assert.InDelta(t, 1.0/3, e.errors/e.completions, 0.05)
}

func TestTheMeanIsUsedInTheBlackoutAndAfterExpiry(t *testing.T) {
	e := &evidence{}
	now := start
	for range 20 {
		now = now.Add(400 * time.Millisecond)
		e.report(now, 100*time.Millisecond, false)
	}
	_, ok := e.derived(now, 10)
	assert.False(t, ok, "blackout")
	now = start.Add(400*time.Millisecond + blackoutPeriod)
	_, ok = e.derived(now, 10)
	assert.True(t, ok)
	_, ok = e.derived(now.Add(weightExpiration), 10)
	assert.False(t, ok, "expired")
	e.report(now.Add(2*weightExpiration), time.Second, false)
	_, ok = e.derived(now.Add(2*weightExpiration+time.Second), 10)
	assert.False(t, ok, "a blackout begins anew after expiry")
}

func TestTheRampIsThatOfA100(t *testing.T) {
	e := &evidence{readySince: start}
	assert.InDelta(t, math.Max(slowStartFloor, 1/slowStartWindow.Seconds()), e.ramp(start), 1e-9)
	half := slowStartWindow / 2
	assert.InDelta(t, math.Pow(half.Seconds()/slowStartWindow.Seconds(), 1/slowStartAggression), e.ramp(start.Add(half)), 1e-9)
	assert.Equal(t, 1.0, e.ramp(start.Add(slowStartWindow)))
	assert.Equal(t, 1.0, (&evidence{}).ramp(start), "one that was there from the start has no ramp")
}

func TestTurnsAreEvenlySpacedAndDeterministic(t *testing.T) {
	pick := func() string {
		b := newBalancer(t, plain("a"), plain("b"), plain("c"))
		b.backends["a"].weight = 2
		order := ""
		for i := range 16 {
			now := start.Add(time.Duration(i) * time.Second)
			r := request("plain", "", now)
			grant, waiting := arrive(b, r, now)
			require.False(t, waiting)
			order += string(grant.Backend.ID)
			grant.Backend.running-- // ended, without evidence
		}
		return order
	}
	first := pick()
	assert.Equal(t, first, pick())
	counts := map[rune]int{}
	for _, id := range first {
		counts[id]++
	}
	assert.Equal(t, map[rune]int{'a': 8, 'b': 4, 'c': 4}, counts)
	assert.NotContains(t, first, "aaa")
}

func TestANewBackendRampsUp(t *testing.T) {
	b := newBalancer(t, plain("a"), plain("b"))
	now := start.Add(time.Minute)
	b.SetBackends([]message.Backend{plain("a"), plain("b"), plain("new")}, now)
	b.reweigh(b.backends["new"], now)
	assert.InDelta(t, 1/slowStartWindow.Seconds(), b.backends["new"].weight, 1e-9)
	assert.Equal(t, 1.0, b.backends["a"].weight)
	now = now.Add(slowStartWindow)
	b.reweigh(b.backends["new"], now)
	assert.Equal(t, 1.0, b.backends["new"].weight)
}

func TestABackendThatCannotBeReachedReturnsByATrial(t *testing.T) {
	b := newBalancer(t, plain("a"))
	r := request("plain", "", start)
	grant, _ := arrive(b, r, start)
	b.Finish(r, grant.Backend, ConnectFailed, 0, start)
	_, waiting := arrive(b, request("plain", "", start), start)
	assert.True(t, waiting, "it is out of the schedule")
	later := start.Add(connectBackoff)
	b.waiting = nil
	trial := request("plain", "", later)
	grant, waiting = arrive(b, trial, later)
	require.False(t, waiting, "one trial send")
	_, waiting = arrive(b, request("plain", "", later), later)
	assert.True(t, waiting, "and no second beside it")
	b.Finish(trial, grant.Backend, Answered, time.Millisecond, later)
	assert.Equal(t, later, b.backends["a"].evidence.readySince, "its success sets ready_since")
	assert.False(t, b.backends["a"].lost)
}

func TestOnlyHoldersAreChosen(t *testing.T) {
	draining := holding("c", "m")
	draining.Draining = true
	b := newBalancer(t, holding("a", "n"), holding("b", "m"), draining)
	for range 10 {
		grant, waiting := arrive(b, request("llm", "m", start), start)
		require.False(t, waiting)
		assert.Equal(t, message.BackendID("b"), grant.Backend.ID)
	}
}

func TestAMissingModelIsAwaitedOrRefusedByTheClientsPatience(t *testing.T) {
	b := newBalancer(t, holding("a", "n"))
	patient := request("llm", "m", start)
	_, waiting := arrive(b, patient, start)
	assert.True(t, waiting, "a load of 5 s can end in time")
	assert.True(t, b.urgent, "the coordinators are told at once")
	hasty := request("llm", "m", start)
	hasty.Patience = start.Add(2 * time.Second)
	_, waiting = arrive(b, hasty, start)
	assert.True(t, waiting, "for a moment: the order may come, and for a warm load")
	b.Tick(start.Add(300 * time.Millisecond))
	grant := <-hasty.grant
	assert.Nil(t, grant.Backend)
	assert.Positive(t, grant.RetryAfter)
	b.SetBackends([]message.Backend{holding("a", "n", "m")}, start.Add(3*time.Second))
	assert.Equal(t, message.BackendID("a"), (<-patient.grant).Backend.ID, "those that wait get it as soon as it is there")
}

// Found on the bench (LOST): requests that waited for a model outlasted the grace time of a stopping proxy.
func TestAStoppingProxyHoldsNobodyForAModel(t *testing.T) {
	b := newBalancer(t, holding("a", "n"))
	waitingOne := request("llm", "m", start)
	_, waiting := arrive(b, waitingOne, start)
	require.True(t, waiting)
	b.SetLeaving(start.Add(time.Second))
	assert.Nil(t, (<-waitingOne.grant).Backend)
	grant, waiting := arrive(b, request("llm", "m", start), start.Add(time.Second))
	assert.False(t, waiting)
	assert.Nil(t, grant.Backend)
	grant, _ = arrive(b, request("llm", "n", start), start.Add(time.Second))
	assert.NotNil(t, grant.Backend, "what can be served is served")
}

func TestWaitingGoesByPriorityThenDeadline(t *testing.T) {
	full := plain("a")
	full.Capacity = 1
	b := newBalancer(t, full)
	first := request("plain", "", start)
	grant, _ := arrive(b, first, start)
	var all []*Request
	for i, priority := range []int{2, 0, 1, 0} {
		r := request("plain", "", start)
		r.Priority, r.Deadline = priority, start.Add(time.Duration(20-i)*time.Second)
		_, waiting := arrive(b, r, start)
		require.True(t, waiting)
		all = append(all, r)
	}
	order := ""
	for range all {
		b.Finish(first, grant.Backend, Answered, time.Millisecond, start)
		for i, r := range all {
			select {
			case grant = <-r.grant:
				first, order = r, order+fmt.Sprint(i)
			default:
			}
		}
	}
	assert.Equal(t, "3120", order)
}

func TestARefusalComesAtAQuarterOfTheAim(t *testing.T) {
	full := plain("a")
	full.Capacity = 1
	b := newBalancer(t, full)
	arrive(b, request("plain", "", start), start)
	r := request("plain", "", start)
	_, waiting := arrive(b, r, start)
	require.True(t, waiting)
	b.Tick(start.Add(249 * time.Millisecond))
	assert.Empty(t, r.grant)
	b.Tick(start.Add(250 * time.Millisecond))
	assert.Nil(t, (<-r.grant).Backend)
}

func TestTheRetryBudgetHoldsInEveryWindow(t *testing.T) {
	budget := NewRetryBudget(10*time.Second, 0.2, 60, start)
	budget.SetProxies(10, start)
	now := start
	var requests, repeats []time.Time
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if step%7 == 0 && step < 3000 {
			budget.Request(now)
			requests = append(requests, now)
		}
		if budget.TryRepeat(now) {
			repeats = append(repeats, now)
		}
	}
	within := func(times []time.Time, end time.Time) (count int) {
		for _, at := range times {
			if !at.After(end) && end.Sub(at) <= 10*time.Second {
				count++
			}
		}
		return count
	}
	for _, end := range repeats {
		assert.LessOrEqual(t, float64(within(repeats, end)), 0.2*float64(within(requests, end))+60.0/10)
	}
	assert.NotEmpty(t, repeats)
}

func TestAProxyThatHasJustStartedHasNoAllowance(t *testing.T) {
	budget := NewRetryBudget(10*time.Second, 0.2, 60, start)
	assert.False(t, budget.TryRepeat(start.Add(9*time.Second)), "its predecessor may have spent it")
	assert.True(t, budget.TryRepeat(start.Add(10*time.Second)))
}

func TestAPromptGoesWhereTheLeastWaits(t *testing.T) {
	b := newBalancer(t, holding("a", "m"), holding("b", "m"))
	long := request("llm", "m", start)
	long.PromptTokens = 8000
	first, _ := arrive(b, long, start)
	for range 3 {
		grant, waiting := arrive(b, request("llm", "m", start), start)
		require.False(t, waiting)
		assert.NotEqual(t, first.ID, grant.ID, "a long prompt waits there")
	}
	b.Began(long, first.Backend, 400*time.Millisecond)
	assert.Zero(t, first.Backend.queued)
}

func TestNoPromptQueuesBeyondItsClientsPatience(t *testing.T) {
	b := newBalancer(t, holding("a", "m"))
	for range 3 {
		r := request("llm", "m", start)
		r.PromptTokens, r.Patience = 7000, start.Add(2*time.Second)
		arrive(b, r, start)
	}
	r := request("llm", "m", start)
	r.PromptTokens, r.Patience = 4000, start.Add(2*time.Second)
	_, waiting := arrive(b, r, start)
	require.True(t, waiting, "more than 1 s of prompts wait at the only holder")
	b.Tick(start.Add(time.Second / 4))
	assert.Nil(t, (<-r.grant).Backend, "and a client is told to come back in good time")
}

func TestThePaceIsALowQuantile(t *testing.T) {
	pace := paceTable{}
	r := &Request{Model: "m/a1", PromptTokens: 1000}
	assert.Equal(t, usualPace*1000, pace.work(r))
	for i := range 300 {
		span := 135 * time.Millisecond
		if i%2 == 0 {
			span = time.Second // it waited
		}
		pace.learn(r, span)
	}
	assert.InDelta(t, 100, pace.work(r), 30, "what it takes without waiting, less what the shortest takes")
}

// Found on reading: a coordinator that has just started counts one proxy, and each would take the whole allowance.
func TestALowerCountOfProxiesIsBelievedLate(t *testing.T) {
	budget := NewRetryBudget(10*time.Second, 0.2, 60, start)
	budget.SetProxies(10, start)
	budget.SetProxies(1, start.Add(15*time.Second))
	assert.Equal(t, 10, budget.Proxies())
	budget.SetProxies(12, start.Add(16*time.Second))
	assert.Equal(t, 12, budget.Proxies(), "a higher one at once")
	budget.SetProxies(11, start.Add(36*time.Second))
	assert.Equal(t, 12, budget.Proxies())
	budget.SetProxies(11, start.Add(37*time.Second))
	assert.Equal(t, 11, budget.Proxies())
}

func TestANewlyShownModelRampsUpWhereItIsNew(t *testing.T) {
	b := newBalancer(t, holding("a", "m", "n"), holding("b", "n"))
	now := start.Add(time.Minute)
	b.SetBackends([]message.Backend{holding("a", "m", "n"), holding("b", "n", "m")}, now)
	weights := func(model message.ModelName, now time.Time) (float64, float64) {
		r := request("llm", model, now)
		return b.backends["a"].weightFor(r, now), b.backends["b"].weightFor(r, now)
	}
	old, fresh := weights("m", now)
	assert.Equal(t, 1.0, old)
	assert.InDelta(t, 1/slowStartWindow.Seconds(), fresh, 1e-9)
	old, other := weights("n", now)
	assert.Equal(t, old, other, "what it held before is not new there")
	_, ready := weights("m", now.Add(slowStartWindow))
	assert.Equal(t, 1.0, ready)
}
