package main

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"pumiceline/internal/logkey"
)

// lateLoss is the part of its worth that a late answer loses.
const lateLoss = 0.7

// fieldPattern finds the fields of a line of the log.
var fieldPattern = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// earlierKeys are the keys under which earlier versions of the proxy logged the fields of today. Both are read.
var earlierKeys = map[string]string{
	logkey.LatencyTargetMs: "aim", logkey.MaxEventGapMs: "pause", logkey.QueuedMs: "waited", logkey.WaitReason: "for",
	logkey.FirstEventMs: "first", logkey.LongestEventGapMs: "longest", logkey.TotalMs: "total",
	logkey.HasEvents: "events", logkey.Complete: "whole", logkey.Rejection: "refusal",
}

// Messages of the records that are read. Some had other words in earlier versions.
const (
	requestDone        = `msg="request done"`
	commandSent        = `msg="placement command sent"`
	commandSentEarlier = "msg=order "
	taskStarted        = `msg="placement task started"`
	taskStartedEarlier = `msg="task begins"`
)

// fields are the fields of a log line by key; quotes are taken off.
type fields map[string]string

func parseFields(line string) fields {
	out := fields{}
	for _, match := range fieldPattern.FindAllStringSubmatch(line, -1) {
		out[match[1]] = strings.Trim(match[2], `"`)
	}
	return out
}

// value returns the field of that key, or of the key that it had earlier.
func (f fields) value(key string) string { return f[f.keyInUse(key)] }

func (f fields) keyInUse(key string) string {
	if earlier, ok := earlierKeys[key]; ok {
		if _, isLogged := f[earlier]; isLogged {
			return earlier
		}
	}
	return key
}

func (f fields) number(key string) (int, error) {
	value, err := strconv.Atoi(f.value(key))
	return value, errors.Wrap(err, f.keyInUse(key))
}

// routeAccount is what became of the requests of a route.
type routeAccount struct {
	priority, aim string
	total         int
	inTime        int
	late          map[string]int // by cause
	lost          map[string]int // by cause
}

func (r *routeAccount) loss() float64 {
	late, lost := 0, 0
	for _, count := range r.late {
		late += count
	}
	for _, count := range r.lost {
		lost += count
	}
	return lateLoss*float64(late) + float64(lost)
}

// account is made from a log, line by line.
type account struct {
	requests int
	routes   map[string]*routeAccount
	orders   map[string]int
	reasons  map[string]int
}

func newAccount() *account {
	return &account{routes: map[string]*routeAccount{}, orders: map[string]int{}, reasons: map[string]int{}}
}

func (a *account) loss() float64 {
	loss := 0.0
	for _, route := range a.routes {
		loss += route.loss()
	}
	return loss
}

// take takes a line of the log; lines that are of no interest are passed over.
func (a *account) take(line string) error {
	switch {
	case strings.Contains(line, requestDone):
		return a.takeRequest(parseFields(line))
	case strings.Contains(line, commandSent), strings.Contains(line, commandSentEarlier):
		f := parseFields(line)
		kind := "model"
		if strings.Contains(f[logkey.Name], "/") {
			kind = "adapter"
		}
		a.orders[f[logkey.Operation]+", "+kind+", answer "+f[logkey.Answer]]++
	case strings.Contains(line, taskStarted), strings.Contains(line, taskStartedEarlier):
		a.reasons[parseFields(line)[logkey.Reason]]++
	}
	return nil
}

func (a *account) takeRequest(f fields) error {
	a.requests++
	route := a.routes[f[logkey.Route]]
	if route == nil {
		route = &routeAccount{
			priority: f[logkey.Priority], aim: f.value(logkey.LatencyTargetMs),
			late: map[string]int{}, lost: map[string]int{},
		}
		a.routes[f[logkey.Route]] = route
	}
	route.total++
	if f.value(logkey.Rejection) != "" {
		route.lost["refused, "+f.value(logkey.Rejection)+", waited for "+f.value(logkey.WaitReason)]++
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

// lateness says why an answer was late; empty: it was in time.
func lateness(f fields) (string, error) {
	var values [6]int
	for i, name := range []string{
		logkey.LatencyTargetMs, logkey.MaxEventGapMs, logkey.FirstEventMs, logkey.LongestEventGapMs, logkey.QueuedMs,
		logkey.TotalMs,
	} {
		value, err := f.number(name)
		if err != nil {
			return "", err
		}
		values[i] = value
	}
	aim, pause, first, longest, waited, total := values[0], values[1], values[2], values[3], values[4], values[5]
	begun := first
	if f.value(logkey.HasEvents) != "true" {
		begun = total
	}
	switch {
	case begun > aim && waited > aim/2:
		return "first event, waited for " + f.value(logkey.WaitReason), nil
	case begun > aim && f[logkey.Attempts] != "1":
		return "first event, more than one attempt", nil
	case begun > aim:
		return "first event, at the backend", nil
	case pause > 0 && longest > pause:
		return "a pause", nil
	}
	return "", nil
}

func (a *account) print(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(a.routes)) {
		route := a.routes[name]
		fmt.Fprintf(out, "%s, priority %s, aim %s ms: %d requests, %d in time, loss %.0f\n",
			name, route.priority, route.aim, route.total, route.inTime, route.loss())
		printCounts(out, "late: ", route.late)
		printCounts(out, "", route.lost)
	}
	fmt.Fprintln(out, "orders to backends")
	printCounts(out, "", a.orders)
	fmt.Fprintln(out, "tasks of the placer")
	printCounts(out, "", a.reasons)
}

// printCounts prints counts by cause, the largest first.
func printCounts(out io.Writer, prefix string, counts map[string]int) {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(x, y string) int { return counts[y] - counts[x] })
	for _, name := range names {
		fmt.Fprintf(out, "  %6d  %s%s\n", counts[name], prefix, name)
	}
}
