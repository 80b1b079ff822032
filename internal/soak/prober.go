package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakesystem"
)

// Times of probes.
const (
	probeInterval = 25 * time.Millisecond // between two probes, over all proxies
	probeTimeout  = 2 * time.Second
	markersProbed = 4 // number of latest valid changes that are probed, in turn with the latest invalid one
)

const probePrefix = "probe-"

func isProbeID(id string) bool { return strings.HasPrefix(id, probePrefix) }

// prober sends requests on the routes of the latest changes, to find out which configuration is in force at each proxy.
type prober struct {
	proxies  []*node
	recorder *recorder
	http     *http.Client
}

func newProber(proxies []*node, r *recorder) *prober {
	return &prober{proxies: proxies, recorder: r, http: &http.Client{
		Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: markersProbed},
	}}
}

// run probes the proxies in turn until ctx ends, and waits for the last probe.
func (p *prober) run(ctx context.Context) {
	slots := make(chan struct{}, len(p.proxies)) // concurrent, so that a frozen proxy does not delay others
	for number := 0; ctxtime.Sleep(ctx, probeInterval) == nil; number++ {
		marker := p.marker(number / len(p.proxies))
		if marker == "" {
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			p.probe(ctx, p.proxies[number%len(p.proxies)], marker, number)
		}()
	}
	for range cap(slots) {
		slots <- struct{}{}
	}
}

// marker returns the marker of one of the latest changes; empty: there is none.
func (p *prober) marker(number int) (marker string) {
	turn := number % (markersProbed + 1)
	p.recorder.edit(func(h *History) {
		wantsInvalid := turn == markersProbed
		skip := turn // changes of that kind to pass over
		if wantsInvalid {
			skip = 0
		}
		for i := len(h.Changes) - 1; i >= 0; i-- {
			if h.Changes[i].IsInvalid != wantsInvalid {
				continue
			}
			if skip == 0 {
				marker = h.Changes[i].Marker
				return
			}
			skip--
		}
	})
	return marker
}

func (p *prober) probe(ctx context.Context, n *node, marker string, number int) {
	id := fmt.Sprintf("%s%d", probePrefix, number)
	url := fmt.Sprintf("http://%s/%s/a", n.ClientAddress(), marker)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	request.Host = requestHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Time-Left-Ms", fmt.Sprint(probeTimeout.Milliseconds()))
	probe := Probe{Node: n.Name, Marker: marker, SentAt: p.recorder.now()}
	response, err := p.http.Do(request)
	if err != nil {
		return // not recorded: cut connections are checked on the requests of clients
	}
	defer response.Body.Close()
	probe.EndedAt, probe.Status = p.recorder.now(), response.StatusCode
	probe.IsServed = response.StatusCode == http.StatusOK && response.Header.Get("Server-Seal") == fakesystem.Seal(id)
	p.recorder.edit(func(h *History) { h.Probes = append(h.Probes, probe) })
}
