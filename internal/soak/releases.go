package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakesystem"
)

// Times of releases.
const (
	releaseStream      = 2                      // stream of the generator
	minReleaseInterval = 500 * time.Millisecond // between two backends that start to drain
	maxReleaseInterval = 2 * time.Second
	maxServingExtra    = 4 * time.Second // a draining backend stays on the list for up to this long beyond Bounds.Drain
)

// releases replaces the backends one after the other, as the release of a new version does: the replacement is listed
// first, then the platform's list shows the old backend as draining, and later not at all. An old backend goes on
// serving until the end of the run, so that late requests are recorded.
type releases struct {
	fakes    *fakeServices
	recorder *recorder
	random   *rand.Rand
	count    int
}

func newReleases(fakes *fakeServices, r *recorder, seed uint64) *releases {
	return &releases{fakes: fakes, recorder: r, random: rand.New(rand.NewPCG(seed, releaseStream))}
}

// run replaces backends until ctx ends. It returns an error if a replacement cannot be started.
func (r *releases) run(ctx context.Context) error {
	for ctxtime.Sleep(ctx, r.interval()) == nil {
		ready := r.fakes.ready()
		if err := r.replace(ready[r.random.IntN(len(ready))]); err != nil {
			return err
		}
	}
	return nil
}

// interval draws the time until the next backend drains.
func (r *releases) interval() time.Duration {
	return minReleaseInterval + time.Duration(r.random.Int64N(int64(maxReleaseInterval-minReleaseInterval)))
}

// replace starts the replacement of a backend and drains the backend.
func (r *releases) replace(old *fakesystem.Backend) error {
	r.count++
	replacement := &fakesystem.Backend{
		ID: fmt.Sprintf("%s-release-%d", old.Service, r.count), Service: old.Service, Zone: old.Zone, Capacity: old.Capacity,
		ModelLoadTime: old.ModelLoadTime, StreamEvents: old.StreamEvents, WorkTime: old.WorkTime,
		StreamsByTokenCount: old.StreamsByTokenCount,
	}
	if err := r.fakes.start(replacement, old.Models()...); err != nil {
		return err
	}
	r.fakes.platform.Add(replacement)
	old.StartDraining()
	r.recorder.edit(func(h *History) {
		h.Drains = append(h.Drains, Drain{Backend: old.ID, At: r.recorder.now()})
	})
	stays := r.recorder.history.Bounds.Drain + time.Duration(r.random.Int64N(int64(maxServingExtra)))
	time.AfterFunc(stays, func() { r.fakes.platform.Remove(old) })
	return nil
}

// ready returns the backends that are not draining, in the order of their starts.
func (s *fakeServices) ready() []*fakesystem.Backend {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.backends), (*fakesystem.Backend).IsDraining)
}
