package discovery

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"pumiceline/internal/logkey"
)

func TestAgeMonitor_Status(t *testing.T) {
	start := time.Now()
	m := NewAgeMonitor(4 * time.Second)
	assert.Equal(t, int64(-1), m.Status(start).AgeMs, "there is no list yet")
	m.Use(start, start)
	m.Use(start.Add(2900*time.Millisecond), start.Add(3*time.Second))
	m.CountPoll(true)
	m.CountPoll(false)
	m.CountRead(nil)
	m.CountRead(errors.New("timeout"))
	status := m.Status(start.Add(3200 * time.Millisecond))
	assert.Equal(t, int64(300), status.AgeMs)
	assert.Equal(t, int64(3000), status.OldestMs, "the first list was in use until it was 3 s old")
	assert.Equal(t, [ageBuckets]uint64{0, 0, 0, 1, 0}, status.AgesByQuarter)
	assert.Equal(t, []uint64{2, 2, 1, 2, 1}, []uint64{status.Lists, status.Polls, status.Rejected, status.Reads, status.Failures})
}

// A list that nothing replaces gets older all the time, and an old list counts for one to two windows.
func TestAgeMonitor_OldestWithinWindows(t *testing.T) {
	start := time.Now()
	m := NewAgeMonitor(4 * time.Second)
	m.Use(start, start)
	assert.Equal(t, int64(9000), m.Status(start.Add(9*time.Second)).OldestMs)
	m.Use(start.Add(10*time.Second), start.Add(10*time.Second))
	assert.Equal(t, int64(10000), m.Status(start.Add(11*time.Second)).OldestMs)
	m.Use(start.Add(16*time.Second), start.Add(16*time.Second))
	assert.Equal(t, int64(10000), m.Status(start.Add(17*time.Second)).OldestMs)
	m.Use(start.Add(22*time.Second), start.Add(22*time.Second))
	assert.Equal(t, int64(6000), m.Status(start.Add(23*time.Second)).OldestMs)
}

func TestAgeMonitor_WarnsOfOldList(t *testing.T) {
	hook := logtest.NewGlobal()
	defer hook.Reset()
	m := NewAgeMonitor(time.Second)
	m.log(ListStatus{OldestMs: 1000})
	assert.Nil(t, hook.LastEntry(), "not older than the bound")
	m.log(ListStatus{OldestMs: 1001})
	assert.Equal(t, logrus.WarnLevel, hook.LastEntry().Level)
	assert.Equal(t, int64(1001), hook.LastEntry().Data[logkey.OldestListAgeMs])
}
