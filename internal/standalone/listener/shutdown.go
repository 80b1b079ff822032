package listener

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/settings"
)

// How the platform stops a proxy: SIGKILL comes no sooner after SIGTERM than the longest deadline of a request, of which
// maxCountedDeadline counts at most, and killDelay.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is how long before the earliest SIGKILL the last response is due: time for scheduling and exit.
	killMargin = 250 * time.Millisecond
	// closeLead is how long before the last response each response starts to close its connection, so that a request
	// accepted just before still has that long.
	closeLead = time.Second
)

const (
	// acceptGrace is how long new connections are still accepted after the request to stop: the load balancer in front
	// notices the stop with some delay.
	acceptGrace = 600 * time.Millisecond
	// unusedShutdownAge is how long a new connection may take to bring its first request before shutdown counts it as
	// unused.
	unusedShutdownAge = acceptGrace / 2
	// drainInterval is the time between two passes of drain.
	drainInterval = 20 * time.Millisecond
	// lingerAfterLastResponse leaves the last connections some of the time before SIGKILL to close in order.
	lingerAfterLastResponse = killMargin / 2
)

// shutdownSchedule says when the steps of a shutdown are due. Neither time is before the stop.
type shutdownSchedule struct {
	// closeFrom is when responses start to close their connections and idle connections are closed. Until then
	// keep-alive connections are served: the load balancer in front sends new connections to another proxy, which may
	// be stopping as well.
	closeFrom time.Time
	// lastResponse is when every response must have been given.
	lastResponse time.Time
}

// shutdownTimes returns the schedule of a server that stops at stop without a successor, where longestDeadline is the
// longest deadline that a request may have.
func shutdownTimes(stop time.Time, longestDeadline time.Duration) shutdownSchedule {
	lastResponse := stop.Add(min(max(longestDeadline, 0), maxCountedDeadline) + killDelay - killMargin)
	closeFrom := lastResponse.Add(-closeLead)
	if closeFrom.Before(stop) {
		closeFrom = stop
	}
	return shutdownSchedule{closeFrom: closeFrom, lastResponse: lastResponse}
}

// longestClientTimeout returns the longest client time-out of the classes in s.
func longestClientTimeout(s *settings.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, engine.Duration(settings.Micros(c.ClientTimeout)))
	}
	return longest
}

// shutDown accepts clients for acceptGrace more, or none if there is a successor, and returns once all client sockets
// are closed. ended brings the result of the HTTP server.
func (s *Server) shutDown(clients *limitListener, ended <-chan error) error {
	stop := time.Now()
	hasSuccessor := s.opts.HasSuccessor != nil && s.opts.HasSuccessor()
	schedule := shutdownTimes(stop, time.Duration(s.longestDeadline.Load()))
	if hasSuccessor { // it serves new connections, and the clients of the keep-alive ones as well
		schedule.closeFrom = stop
	}
	s.lastResponseAt.Store(schedule.lastResponse.UnixNano())
	defer time.AfterFunc(time.Until(schedule.lastResponse), s.end).Stop()
	// Before the listener is closed: Close of an inherited socket in blocking mode (see package hotrestart) waits until
	// its Accept returns, and that takes a new connection, such as of a client whose response closed its old one.
	s.closeAfterResponse.Store(!schedule.closeFrom.After(stop))
	if hasSuccessor {
		clients.Close()
	}
	s.opts.Log.Info("shutting down", "client_sockets", s.tracker.count(), "successor", hasSuccessor,
		"closing_in", schedule.closeFrom.Sub(stop), "last_response_in", schedule.lastResponse.Sub(stop))
	time.Sleep(acceptGrace)
	clients.closeWhenDrained()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("client sockets: %w", err)
	}
	time.Sleep(time.Until(schedule.closeFrom))
	s.closeAfterResponse.Store(true)
	s.tracker.drain(schedule.lastResponse)
	return nil
}

// capDeadline returns a deadline that is not after the last response of a shutdown: SIGKILL would come before a later
// response.
func (s *Server) capDeadline(deadline time.Time) time.Time {
	if last := s.lastResponseAt.Load(); last != 0 && deadline.UnixNano() > last {
		return time.Unix(0, last)
	}
	return deadline
}
