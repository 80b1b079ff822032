package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"pumiceline/internal/logkey"
)

// lateLoss is the share of its value that a late answer loses.
const lateLoss = 0.7

// lossSummary sums up a log, line by line.
type lossSummary struct {
	requests    int
	routes      map[string]*routeLoss
	commands    map[string]int // placement commands, by operation and answer
	taskReasons map[string]int // placement tasks, by reason
}

// routeLoss counts the requests of a route by their result.
type routeLoss struct {
	priority, latencyTargetMs string
	total                     int
	inTime                    int
	late                      map[string]int // by cause
	lost                      map[string]int // by cause
}

func newLossSummary() *lossSummary {
	return &lossSummary{routes: map[string]*routeLoss{}, commands: map[string]int{}, taskReasons: map[string]int{}}
}

// addLine adds a line of the log. It skips lines of records that are not summed up.
func (s *lossSummary) addLine(line string) error {
	switch {
	case strings.Contains(line, requestDone):
		return s.addRequest(parseFields(line))
	case strings.Contains(line, commandSent), strings.Contains(line, commandSentEarlier):
		s.addCommand(parseFields(line))
	case strings.Contains(line, taskStarted), strings.Contains(line, taskStartedEarlier):
		s.taskReasons[parseFields(line)[logkey.Reason]]++
	}
	return nil
}

func (s *lossSummary) addCommand(f fields) {
	subject := "model"
	if isAdapter := strings.Contains(f[logkey.Name], "/"); isAdapter {
		subject = "adapter"
	}
	s.commands[f[logkey.Operation]+", "+subject+", answer "+f[logkey.Answer]]++
}

func (s *lossSummary) addRequest(f fields) error {
	s.requests++
	route := s.route(f)
	route.total++
	if rejection := f.value(logkey.Rejection); rejection != "" {
		route.lost["refused, "+rejection+", waited for "+f.value(logkey.WaitReason)]++
		return nil
	}
	if f.value(logkey.Complete) != "true" {
		route.lost["broken off or failed"]++
		return nil
	}
	cause, err := lateness(f)
	if err != nil {
		return err
	}
	if cause == "" {
		route.inTime++
	} else {
		route.late[cause]++
	}
	return nil
}

// route returns the route of a request. Its priority and target are those of its first request.
func (s *lossSummary) route(f fields) *routeLoss {
	name := f[logkey.Route]
	if s.routes[name] == nil {
		s.routes[name] = &routeLoss{
			priority: f[logkey.Priority], latencyTargetMs: f.value(logkey.LatencyTargetMs),
			late: map[string]int{}, lost: map[string]int{},
		}
	}
	return s.routes[name]
}

// lateness returns the cause of a late answer; empty if the answer was in time.
func lateness(f fields) (string, error) {
	t, err := f.timings()
	if err != nil {
		return "", err
	}
	latency := t.firstEvent
	if f.value(logkey.HasEvents) != "true" {
		latency = t.total
	}
	switch {
	case latency > t.latencyTarget && t.queued > t.latencyTarget/2:
		return "first event, waited for " + f.value(logkey.WaitReason), nil
	case latency > t.latencyTarget && f[logkey.Attempts] != "1":
		return "first event, more than one attempt", nil
	case latency > t.latencyTarget:
		return "first event, at the backend", nil
	case t.maxEventGap > 0 && t.longestEventGap > t.maxEventGap:
		return "a pause", nil
	}
	return "", nil
}

// loss returns the lost value, in requests of full value.
func (s *lossSummary) loss() float64 {
	loss := 0.0
	for _, route := range s.routes {
		loss += route.loss()
	}
	return loss
}

func (r *routeLoss) loss() float64 {
	return lateLoss*float64(sumCounts(r.late)) + float64(sumCounts(r.lost))
}

func sumCounts(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

func (s *lossSummary) print(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		route := s.routes[name]
		fmt.Fprintf(out, "%s, priority %s, aim %s ms: %d requests, %d in time, loss %.0f\n",
			name, route.priority, route.latencyTargetMs, route.total, route.inTime, route.loss())
		printCounts(out, "late: ", route.late)
		printCounts(out, "", route.lost)
	}
	fmt.Fprintln(out, "orders to backends")
	printCounts(out, "", s.commands)
	fmt.Fprintln(out, "tasks of the placer")
	printCounts(out, "", s.taskReasons)
}

// printCounts prints counts by cause, the largest first.
func printCounts(out io.Writer, prefix string, counts map[string]int) {
	causes := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(causes, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	for _, cause := range causes {
		fmt.Fprintf(out, "  %6d  %s%s\n", counts[cause], prefix, cause)
	}
}
