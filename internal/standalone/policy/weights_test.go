package policy

import (
	"math"
	"testing"
)

func TestBaseWeight_BlackoutAndExpiration(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	s, other := b.members[0], b.members[1]
	b.overall.meanWeight, b.instanceTypes[0].meanWeight = 7, 7
	assertNear(t, "weight before any report", b.baseWeight(s), 7, 0)

	b.addReport(s, loadReport(20, 0.5, 1))
	assertNear(t, "weight in blackout", b.baseWeight(s), 7, 0)
	b.now += blackoutPeriod
	// A single report, with the mean mixed in like a report with a utilization of meanReportWeight.
	want := (20 + meanReportWeight*7) / (0.5 + meanReportWeight + 1.0/20*errorUtilizationPenalty)
	assertNear(t, "weight after blackout", b.baseWeight(s), want, 1e-9)

	b.now += weightExpiration
	assertNear(t, "weight after expiration", b.baseWeight(s), 7, 0)
	b.addReport(s, loadReport(30, 0.5, 0))
	assertNear(t, "weight with a new report, in blackout again", b.baseWeight(s), 7, 0)
	b.now += blackoutPeriod
	if b.baseWeight(s) <= 7 {
		t.Error("a new weight is not used after the second blackout")
	}
	assertNear(t, "weight of a server that never reported", b.baseWeight(other), 7, 0)
}

func TestImplausibleReportsAreIgnored(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, report := range [][]float32{nil, {1}, {1, 1}, loadReport(nan, 1, 0), loadReport(1, inf, 0),
		loadReport(-1, 1, 0), loadReport(1, -1, 0), loadReport(1, 1, nan), loadReport(0, 1, 0), loadReport(1, 0, 0)} {
		b.addReport(s, report)
		if s.nonEmptySince != 0 || s.reportWeight != 0 {
			t.Fatalf("report %v was used", report)
		}
	}
}

// A server that fails fast looks efficient, with a low utilization for many requests. The error penalty must
// outweigh that.
func TestErrorsOutweighLowUtilization(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	failing, healthy := b.members[0], b.members[1]
	b.addReport(failing, loadReport(20, 0.2, 12))
	b.addReport(healthy, loadReport(10, 0.7, 0))
	b.now += blackoutPeriod
	if failingWeight, healthyWeight := b.baseWeight(failing), b.baseWeight(healthy); failingWeight > healthyWeight/2 {
		t.Errorf("failing server weighs %v, healthy one %v", failingWeight, healthyWeight)
	}
}
