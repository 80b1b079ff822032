package soak

import (
	"fmt"
	"sync"
	"time"

	"pumiceline/internal/fake/fakesystem"
)

// Sizes of the fakes.
const (
	modelBackends    = 6
	documentBackends = 4
	modelCapacity    = 64 // concurrent requests
	documentCapacity = 64
	documentWork     = 60 * time.Millisecond
	modelLoad        = 400 * time.Millisecond
	defaultEvents    = 8
)

// fakeServices are the fake backends and the fake platform that the processes of a run use.
type fakeServices struct {
	executions *fakesystem.ExecutionCounter
	platform   *fakesystem.Platform

	mutex    sync.Mutex
	backends []*fakesystem.Backend // all that were started
}

// startFakeServices starts backends and the platform. The caller closes them, also after an error.
func startFakeServices() (*fakeServices, error) {
	s := &fakeServices{executions: fakesystem.NewExecutionCounter(), platform: &fakesystem.Platform{}}
	resident := [][]string{{"small"}, {"small", "large"}, {"large"}}
	for i := range modelBackends {
		backend := &fakesystem.Backend{
			ID: fmt.Sprintf("model-%d", i), Service: modelService, Zone: zoneOf(i), Capacity: modelCapacity,
			ModelLoadTime: modelLoad, StreamEvents: defaultEvents, StreamsByTokenCount: true,
		}
		if err := s.start(backend, resident[i%len(resident)]...); err != nil {
			return s, err
		}
	}
	for i := range documentBackends {
		backend := &fakesystem.Backend{
			ID: fmt.Sprintf("documents-%d", i), Service: documentService, Zone: zoneOf(i), Capacity: documentCapacity,
			WorkTime: documentWork,
		}
		if err := s.start(backend); err != nil {
			return s, err
		}
	}
	return s, s.platform.Start(s.backends...)
}

func (s *fakeServices) start(backend *fakesystem.Backend, models ...string) error {
	if err := backend.Start(s.executions, models...); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backends = append(s.backends, backend)
	return nil
}

func (s *fakeServices) close() {
	if s.platform.Address != "" {
		s.platform.Close()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, backend := range s.backends {
		backend.Close()
	}
}

// zones is the number of zones.
const zones = 4

func zoneOf(index int) string { return fmt.Sprintf("z%d", index%zones) }
