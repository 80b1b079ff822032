package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/ctxtime"
)

// Calls a second to the platform that the settings allow.
const (
	platformRate = 40.0
	// scarcePlatformRate leaves each of a dozen proxies a read of the list every ten seconds, as in the largest
	// deployments.
	scarcePlatformRate = 6.0
)

// Times of outages.
const (
	outageStream      = 3 // stream of the generator
	holderOutage      = 10 * time.Second
	minOutage         = time.Second
	maxOutage         = 6 * time.Second
	minOutageInterval = 2 * time.Second
	maxOutageInterval = 6 * time.Second
	statusTimeout     = 500 * time.Millisecond // of a call for the status of a coordinator
)

// outages cuts coordinators off from the platform, one at a time: the lease holder if isHolderOnly is set, otherwise a
// random one for a random time. Nothing else is cut.
type outages struct {
	coordinators []*node
	isHolderOnly bool
	random       *rand.Rand
	client       *http.Client
}

func newOutages(coordinators []*node, isHolderOnly bool, seed uint64) *outages {
	return &outages{
		coordinators: coordinators, isHolderOnly: isHolderOnly, random: rand.New(rand.NewPCG(seed, outageStream)),
		client: &http.Client{Timeout: statusTimeout},
	}
}

// run injects outages until ctx ends, and ends the last one.
func (o *outages) run(ctx context.Context) {
	for ctxtime.Sleep(ctx, o.duration(minOutageInterval, maxOutageInterval)) == nil {
		target, length := o.coordinators[o.random.IntN(len(o.coordinators))], o.duration(minOutage, maxOutage)
		if o.isHolderOnly {
			target, length = o.leaseHolder(), holderOutage
		}
		if target == nil {
			continue
		}
		target.entrance.SetCut(true)
		_ = ctxtime.Sleep(ctx, length) // the loop checks ctx
		target.entrance.SetCut(false)
	}
}

func (o *outages) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(o.random.Int64N(int64(longest-shortest)))
}

// leaseHolder returns the coordinator that holds the controller lease, or nil if none says so.
func (o *outages) leaseHolder() *node {
	for _, n := range o.coordinators {
		response, err := o.client.Get("http://" + n.ControlAddress() + "/status")
		if err != nil {
			continue
		}
		var status coordinator.Status
		err = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if err == nil && status.LeaseToken != 0 {
			return n
		}
	}
	return nil
}
