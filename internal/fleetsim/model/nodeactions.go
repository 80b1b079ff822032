package model

import (
	"pumiceline/internal/standalone/policy"
)

// deliver passes policyEvent to a proxy's node and carries out the actions that it returns.
func (sm *simulation) deliver(proxyIndex int32) {
	sm.stats.Handled++
	sm.actions = sm.proxies[proxyIndex].node.Handle(sm.now, &sm.policyEvent, sm.actions[:0])
	sm.executeActions(proxyIndex)
}

// executeActions carries out the actions that a node returned and sends its messages.
func (sm *simulation) executeActions(proxyIndex int32) {
	if len(sm.actions) > maxActionsPerEvent {
		sm.fail(proxyIndex, "answers one event with %d actions", len(sm.actions))
	}
	for i := 0; i < len(sm.actions) && sm.failure == nil; i++ {
		sm.executeAction(proxyIndex, &sm.actions[i])
	}
	if messenger := sm.proxies[proxyIndex].messenger; messenger != nil {
		for _, message := range messenger.TakeMessages() {
			sm.sendMessage(proxyIndex, message)
		}
	}
}

func (sm *simulation) executeAction(proxyIndex int32, action *policy.Action) {
	switch action.Kind {
	case policy.SendAttempt:
		sm.sendAttempt(proxyIndex, action)
	case policy.RejectRequest, policy.FailRequest:
		sm.rejectOrFailRequest(proxyIndex, action)
	case policy.CancelAttempt:
		sm.cancelAttempt(proxyIndex, action)
	case policy.SetTimer:
		sm.setTimer(proxyIndex, action)
	case policy.SubscribeDiscovery:
		sm.subscribe(proxyIndex)
	case policy.CloseIdleConns:
		sm.closeIdleConnectionsTo(&sm.proxies[proxyIndex], action.Server)
	case policy.LogMessage: // the simulator does not keep the logs of nodes
	case policy.PollLoad:
		sm.pollLoad(proxyIndex, action.Server)
	default:
		sm.fail(proxyIndex, "wants action %d, which the simulator does not know", action.Kind)
	}
}

func (sm *simulation) setTimer(proxyIndex int32, action *policy.Action) {
	p := &sm.proxies[proxyIndex]
	if second := sm.now / microsPerSecond; second != p.timerSecond {
		p.timerSecond, p.timersInSecond = second, 0
	}
	if p.timersInSecond++; p.timersInSecond > maxTimersPerSecond {
		sm.fail(proxyIndex, "sets timers without end: %d within a second", p.timersInSecond)
	}
	sm.schedule(sm.nextTick(sm.now+max(1, action.After)),
		event{kind: evTimer, subject: proxyIndex, number: p.generation, id: action.ID})
}
