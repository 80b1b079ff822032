package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
)

const (
	// monitorWindow is the least time over which AgeMonitor.Oldest looks back, and the interval of its log records.
	monitorWindow = 5 * time.Second
	// ageBuckets is the number of buckets of ListStatus.AgesByQuarter.
	ageBuckets = 5
)

// ListStatus is the state of the backend list that a process uses. It is a part of the status of both planes.
type ListStatus struct {
	AgeMs    int64  `json:"listAgeMs"`       // time since the list in use was read from the platform; -1: there is none
	OldestMs int64  `json:"oldestListAgeMs"` // age of the oldest list in use within the last 5 to 10 s
	Lists    uint64 `json:"lists"`           // that replaced an older one
	Rejected uint64 `json:"rejectedLists"`   // that were received and were not newer
	Polls    uint64 `json:"polls"`           // that got a response
	Reads    uint64 `json:"platformReads"`   // of the whole list, by this process
	Failures uint64 `json:"platformReadFailures"`
	// AgesByQuarter counts lists by their age when they were replaced, in quarters of Bounds.Drain; the last bucket
	// counts those that were older than Bounds.Drain.
	AgesByQuarter [ageBuckets]uint64 `json:"listAgesByQuarter"`
}

// AgeMonitor records the age of the backend list that a process uses, and how the process gets its lists. The age
// bounds how long requests are sent to a backend after the platform's list shows it as draining. All methods are safe
// for concurrent use.
type AgeMonitor struct {
	drain time.Duration // Bounds.Drain

	mutex         sync.Mutex
	observedAt    time.Time // when the list in use was read; zero: there is none
	windowStart   time.Time
	oldest        time.Duration // within the current window
	oldestEarlier time.Duration // within the window before it
	status        ListStatus    // its counters
}

// NewAgeMonitor makes a monitor. drain is Bounds.Drain.
func NewAgeMonitor(drain time.Duration) *AgeMonitor {
	return &AgeMonitor{drain: drain, windowStart: time.Now()}
}

// Use records that the process uses a list that was read at observedAt, in place of the one before.
func (m *AgeMonitor) Use(observedAt, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.observeAge(now)
	if !m.observedAt.IsZero() {
		m.status.AgesByQuarter[m.bucket(now.Sub(m.observedAt))]++
	}
	m.status.Lists++
	m.observedAt = observedAt
}

// bucket returns the bucket of ListStatus.AgesByQuarter for an age.
func (m *AgeMonitor) bucket(age time.Duration) int {
	if m.drain <= 0 {
		return ageBuckets - 1
	}
	return int(min(ageBuckets-1, max(0, age*(ageBuckets-1)/m.drain)))
}

// observeAge takes the present age into the window. The mutex must be held.
func (m *AgeMonitor) observeAge(now time.Time) {
	if now.Sub(m.windowStart) >= monitorWindow {
		m.oldestEarlier, m.oldest, m.windowStart = m.oldest, 0, now
	}
	if !m.observedAt.IsZero() {
		m.oldest = max(m.oldest, now.Sub(m.observedAt))
	}
}

// CountPoll counts a response to a poll. isRejected reports whether it had a list that was not newer.
func (m *AgeMonitor) CountPoll(isRejected bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.status.Polls++
	if isRejected {
		m.status.Rejected++
	}
}

// CountRead counts a read of the list from the platform by this process.
func (m *AgeMonitor) CountRead(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.status.Reads++
	if err != nil {
		m.status.Failures++
	}
}

// Status returns the state at now.
func (m *AgeMonitor) Status(now time.Time) ListStatus {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.observeAge(now)
	status := m.status
	status.AgeMs = -1
	if !m.observedAt.IsZero() {
		status.AgeMs = now.Sub(m.observedAt).Milliseconds()
	}
	status.OldestMs = max(m.oldest, m.oldestEarlier).Milliseconds()
	return status
}

// Run logs the status every few seconds until ctx ends: at warning level if a list in use was older than Bounds.Drain,
// otherwise at debug level.
func (m *AgeMonitor) Run(ctx context.Context) {
	ticker := time.NewTicker(monitorWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.log(m.Status(now))
		}
	}
}

func (m *AgeMonitor) log(status ListStatus) {
	record := logrus.WithFields(logrus.Fields{
		logkey.ListAgeMs: status.AgeMs, logkey.OldestListAgeMs: status.OldestMs, logkey.Lists: status.Lists,
		logkey.RejectedLists: status.Rejected, logkey.Polls: status.Polls, logkey.PlatformReads: status.Reads,
		logkey.PlatformReadFailures: status.Failures,
	})
	if status.OldestMs > m.drain.Milliseconds() {
		record.Warn("backend list in use is too old")
		return
	}
	record.Debug("backend list in use")
}
