package model

type letter struct {
	from int32
	inc  int32
	text []byte
}

func (r *run) post(from int32, l Letter) {
	if len(l.Text) > 256 || l.To >= len(r.proxies) || l.To < -1 {
		r.fail(from, "sends a message of %d bytes to proxy %d", len(l.Text), l.To)
		return
	}
	for to := range r.proxies {
		if l.To >= 0 && to != l.To || int32(to) == from {
			continue
		}
		lost := r.net.Float64() < r.w.Net.Loss || r.partedProxies(from, int32(to))
		late := r.delay(r.proxies[from].zone, r.proxies[to].zone) + Time(r.net.Float64()*float64(r.w.Net.Peer))
		if lost {
			continue
		}
		n := grab(&r.letters, &r.freeL)
		r.letters[n] = letter{from: from, inc: r.proxies[to].inc, text: append([]byte(nil), l.Text...)}
		r.at(r.tick(r.now+late), event{kind: evLetter, a: int32(to), b: n})
	}
}

func (r *run) deliver(e *event) {
	l := r.letters[e.b]
	r.letters[e.b] = letter{}
	r.freeL = append(r.freeL, e.b)
	p := &r.proxies[e.a]
	if !p.up || p.talker == nil || p.inc != l.inc {
		return
	}
	r.see(Record{Kind: PeerSent, Proxy: e.a, Span: Time(len(l.text))})
	r.stats.Handled++
	r.actions = p.talker.Receive(r.now, int(l.from), l.text, r.actions[:0])
	r.carryOut(e.a)
}
