package coordinationsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	// The trace shows the calls and writes on the subject of the first violation in the tracedTime before it, at most
	// tracedCalls of each.
	tracedTime  = 8 * time.Second
	tracedCalls = 60
)

// Trace runs a simulation and returns its trace, one line for each entry: the options, the faults, views and issuers,
// the calls and issuers' writes on the subject of the first violation, and the violations.
func Trace(options Options) string {
	c := newCluster(options)
	c.isTraced = true
	result := c.run()
	var text strings.Builder
	fmt.Fprintf(&text, "options %v\n", options)
	lines := slices.Clone(c.log.notes)
	if len(result.Violations) > 0 {
		lines = append(lines, c.callsBefore(result.Violations[0])...)
		lines = append(lines, c.writesBefore(result.Violations[0])...)
	}
	slices.SortStableFunc(lines, func(a, b note) int { return int(a.at - b.at) })
	for _, line := range lines {
		text.WriteString(line.text + "\n")
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "    %v\n", violation)
	}
	return text.String()
}

// noteWrites records the issuer's changes. Other members store the same changes, which are not recorded again.
func (n *node) noteWrites(out *epoch.Output) {
	for _, write := range out.Writes {
		if write.Position.Epoch.Issuer != n.identity {
			continue
		}
		for _, change := range write.Changes {
			subject, text := describeChange(&change)
			line := fmt.Sprintf("%8.4fs         %s writes %v: %s", n.cluster.now.Seconds(), n.identity, write.Position, text)
			n.cluster.log.writes = append(n.cluster.log.writes, writeNote{subject, note{at: n.cluster.now, text: line}})
		}
	}
}

// describeChange returns the name that a change concerns and a description of the change.
func describeChange(change *message.CoordinationChange) (subject, text string) {
	switch {
	case change.Hold != nil:
		return string(change.Hold.Lock), fmt.Sprintf("hold %+v", *change.Hold)
	case change.Release != nil:
		return string(change.Release.Lock), fmt.Sprintf("release %+v", *change.Release)
	case change.Put != nil:
		return string(change.Put.Key), fmt.Sprintf("put %+v", *change.Put)
	case change.Trim != nil:
		return string(change.Trim.Group), fmt.Sprintf("trim %+v", *change.Trim)
	}
	return "", ""
}

// writesBefore returns the lines of the last writes on the subject of a violation before it.
func (c *Cluster) writesBefore(v Violation) (lines []note) {
	for _, w := range c.log.writes {
		isNear := w.at <= v.At && w.at > v.At-tracedTime
		if isNear && w.subject != "" && (w.subject == v.Subject || strings.HasPrefix(w.subject, v.Subject)) {
			lines = append(lines, w.note)
		}
	}
	return lines[max(0, len(lines)-tracedCalls):]
}

// callsBefore returns the lines of the last calls on the subject of a violation before it.
func (c *Cluster) callsBefore(v Violation) (lines []note) {
	for _, x := range c.log.exchanges {
		isNear := x.sentAt <= v.At && x.sentAt > v.At-tracedTime
		if isNear && x.subject() != "" && (x.subject() == v.Subject || strings.HasSuffix(v.Subject, " "+x.subject())) {
			lines = append(lines, note{at: x.sentAt, text: fmt.Sprintf("%8.4fs     %v", x.sentAt.Seconds(), x)})
		}
	}
	return lines[max(0, len(lines)-tracedCalls):]
}
