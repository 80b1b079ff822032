package model

type messageInFlight struct {
	from        int32
	incarnation int32
	text        []byte
}

func (r *simulation) sendMessage(from int32, l PeerMessage) {
	if len(l.Text) > 256 || l.To >= len(r.proxies) || l.To < -1 {
		r.fail(from, "sends a message of %d bytes to proxy %d", len(l.Text), l.To)
		return
	}
	for to := range r.proxies {
		if l.To >= 0 && to != l.To || int32(to) == from {
			continue
		}
		lost := r.networkRand.Float64() < r.scenario.Network.PeerLoss || r.isPeerPartitioned(from, int32(to))
		late := r.networkDelay(r.proxies[from].zone, r.proxies[to].zone) + Time(r.networkRand.Float64()*float64(r.scenario.Network.PeerDelay))
		if lost {
			continue
		}
		n := acquire(&r.messages, &r.freeMessages)
		r.messages[n] = messageInFlight{from: from, incarnation: r.proxies[to].incarnation, text: append([]byte(nil), l.Text...)}
		r.schedule(r.nextTick(r.now+late), event{kind: evPeerMessage, subject: int32(to), number: n})
	}
}

func (r *simulation) deliverMessage(e *event) {
	l := r.messages[e.number]
	r.messages[e.number] = messageInFlight{}
	r.freeMessages = append(r.freeMessages, e.number)
	p := &r.proxies[e.subject]
	if !p.up || p.messenger == nil || p.incarnation != l.incarnation {
		return
	}
	r.observe(Record{Kind: MessageDelivered, Proxy: e.subject, Span: Time(len(l.text))})
	r.stats.Handled++
	r.actions = p.messenger.Receive(r.now, int(l.from), l.text, r.actions[:0])
	r.executeActions(e.subject)
}
