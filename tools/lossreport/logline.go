package main

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"pumiceline/internal/logkey"
)

// Messages of the log records that are read, and the messages of earlier versions for the same records.
const (
	requestDone        = `msg="request done"`
	commandSent        = `msg="placement command sent"`
	commandSentEarlier = "msg=order "
	taskStarted        = `msg="placement task started"`
	taskStartedEarlier = `msg="task begins"`
)

// earlierKeys has the key of earlier versions of the proxy for each current key. Both are read.
var earlierKeys = map[string]string{
	logkey.LatencyTargetMs: "aim", logkey.MaxEventGapMs: "pause", logkey.QueuedMs: "waited", logkey.WaitReason: "for",
	logkey.FirstEventMs: "first", logkey.LongestEventGapMs: "longest", logkey.TotalMs: "total",
	logkey.HasEvents: "events", logkey.Complete: "whole", logkey.Rejection: "refusal",
}

// fieldPattern finds the fields of a log line.
var fieldPattern = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// fields are the fields of a log line by key, without quotes.
type fields map[string]string

func parseFields(line string) fields {
	out := fields{}
	for _, match := range fieldPattern.FindAllStringSubmatch(line, -1) {
		out[match[1]] = strings.Trim(match[2], `"`)
	}
	return out
}

// value returns the field of that key, or of its earlier key.
func (f fields) value(key string) string { return f[f.keyInUse(key)] }

func (f fields) keyInUse(key string) string {
	if earlier, ok := earlierKeys[key]; ok {
		if _, isLogged := f[earlier]; isLogged {
			return earlier
		}
	}
	return key
}

// number returns a field as a whole number. Its error names the key.
func (f fields) number(key string) (int, error) {
	value, err := strconv.Atoi(f.value(key))
	return value, errors.Wrap(err, f.keyInUse(key))
}

// timings are the times of a finished request, in milliseconds.
type timings struct {
	latencyTarget   int // to the first event, or to the end of an answer without events
	maxEventGap     int // 0: no limit
	firstEvent      int
	longestEventGap int
	queued          int
	total           int
}

func (f fields) timings() (t timings, err error) {
	for _, field := range []struct {
		key   string
		value *int
	}{
		{logkey.LatencyTargetMs, &t.latencyTarget}, {logkey.MaxEventGapMs, &t.maxEventGap},
		{logkey.FirstEventMs, &t.firstEvent}, {logkey.LongestEventGapMs, &t.longestEventGap},
		{logkey.QueuedMs, &t.queued}, {logkey.TotalMs, &t.total},
	} {
		if *field.value, err = f.number(field.key); err != nil {
			return t, err
		}
	}
	return t, nil
}
