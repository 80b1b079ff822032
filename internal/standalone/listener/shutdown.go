package listener

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/settings"
)

// How the platform stops a proxy: SIGKILL follows SIGTERM after at least the longest deadline of a request, of which
// maxCountedDeadline counts at most, plus killDelay.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is how long before the earliest SIGKILL the last response is due: time for scheduling and exit.
	killMargin = 250 * time.Millisecond
	// closeLead is how long before lastResponse the responses start to close their connections. A request that is
	// accepted just before that start still has closeLead to be answered.
	closeLead = time.Second
)

const (
	// acceptGrace is how long new connections are still accepted after the request to stop: the load balancer in front
	// notices the stop with some delay.
	acceptGrace = 600 * time.Millisecond
	// unusedShutdownAge is how long a new connection may take to send its first byte before a shutdown treats it as
	// unused.
	unusedShutdownAge = acceptGrace / 2
	// drainInterval is the time between two passes of connTracker.drain.
	drainInterval = 20 * time.Millisecond
	// lingerAfterLastResponse is how much of killMargin the last connections may use to close without a reset.
	lingerAfterLastResponse = killMargin / 2
)

// shutdownSchedule contains the times of the steps of a shutdown. Neither time is before the stop.
type shutdownSchedule struct {
	// closeFrom is when responses start to close their connections and idle connections are closed. Until then
	// keep-alive connections are served: a client whose connection is closed needs a new one, and the load balancer in
	// front sends that to another proxy, which may be stopping as well.
	closeFrom time.Time
	// lastResponse is the time by which every response must have been sent.
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

// shutDown accepts new connections for another acceptGrace, or none if there is a successor, and returns once all
// client sockets are closed. ended delivers the result of the HTTP server.
func (s *Server) shutDown(clients *limitListener, ended <-chan error) error {
	stop := time.Now()
	hasSuccessor := s.opts.HasSuccessor != nil && s.opts.HasSuccessor()
	schedule := shutdownTimes(stop, time.Duration(s.longestDeadline.Load()))
	if hasSuccessor { // the successor serves new connections, also those of clients whose keep-alive ones are closed
		schedule.closeFrom = stop
	}
	s.lastResponseAt.Store(schedule.lastResponse.UnixNano())
	defer time.AfterFunc(time.Until(schedule.lastResponse), s.abortRequests).Stop()
	// closeAfterResponse must be set before the listener is closed. Close of an inherited socket in blocking mode (see
	// package hotrestart) waits until its Accept returns, which takes a new connection, for example that of a client
	// whose old connection was closed after a response. If all clients kept their connections, Close could block.
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

// capDeadline returns deadline, or the time of the last response of a shutdown if that is earlier: SIGKILL could come
// before a later response.
func (s *Server) capDeadline(deadline time.Time) time.Time {
	if last := s.lastResponseAt.Load(); last != 0 && deadline.UnixNano() > last {
		return time.Unix(0, last)
	}
	return deadline
}
