package model

// messageInFlight is a message in transit to one proxy.
type messageInFlight struct {
	from       int32
	generation int32 // of the recipient
	text       []byte
}

// sendMessage sends a node's message to one proxy or to all others. Each copy is lost or delayed independently.
func (sm *simulation) sendMessage(from int32, message PeerMessage) {
	if len(message.Text) > maxPeerMessageBytes || message.To >= len(sm.proxies) || message.To < allPeers {
		sm.fail(from, "sends a message of %d bytes to proxy %d", len(message.Text), message.To)
		return
	}
	network := &sm.scenario.Network
	for to := range sm.proxies {
		if message.To != allPeers && to != message.To || int32(to) == from {
			continue
		}
		isLost := sm.networkRand.Float64() < network.PeerLoss || sm.isPeerPartitioned(from, int32(to))
		delay := sm.networkDelay(sm.proxies[from].zone, sm.proxies[to].zone)
		delay += Time(sm.networkRand.Float64() * float64(network.PeerDelay))
		if isLost {
			continue
		}
		index := sm.messages.acquire()
		*sm.messages.at(index) = messageInFlight{from: from, generation: sm.proxies[to].generation,
			text: append([]byte(nil), message.Text...)}
		sm.schedule(sm.nextTick(sm.now+delay), event{kind: evPeerMessage, subject: int32(to), number: index})
	}
}

func (sm *simulation) deliverMessage(to, index int32) {
	message := *sm.messages.at(index)
	*sm.messages.at(index) = messageInFlight{}
	sm.messages.release(index)
	messenger := sm.proxies[to].messenger
	if !sm.isRunning(to, message.generation) || messenger == nil {
		return
	}
	sm.observe(Record{Kind: MessageDelivered, Proxy: to, Duration: Time(len(message.text))})
	sm.stats.Handled++
	sm.actions = messenger.Receive(sm.now, int(message.from), message.text, sm.actions[:0])
	sm.executeActions(to)
}
