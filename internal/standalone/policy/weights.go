package policy

import "pumiceline/internal/wrr"

// Parameters of gRFC A58 (weighted round robin by load reports); times in microseconds.
//
// The system's proxy computes its weights in internal/dataplane/balancer (weight.go): its backends send no
// reports, so it derives rate and utilization from its own attempts, with other parameters. Formulas that are
// the same to the bit are shared, in package wrr.
const (
	errorUtilizationPenalty = 10.0        // A58's default is 1; here an error wastes all of the work
	blackoutPeriod          = 2_000_000   // A58's default is 10 s; mixing in the mean smooths early reports
	weightExpiration        = 180_000_000 // A58's default
)

const (
	reportTimeConstant = 3e6  // of the decaying sums of reports, in microseconds: one report is noisy
	meanReportWeight   = 0.3  // the mean weight is mixed in like a report with this utilization
	minWeight          = 1e-6 // of a server in the schedule, whose turns are 1/weight apart
	minMeanEvidence    = 0.5  // summed utilization above which an instance type has a mean weight of its own
)

// Bounds of server.relativeWorkTime.
const (
	minRelativeWorkTime = 0.3
	maxRelativeWorkTime = 4
)

// capacityStats describe the mean capacity of the servers of one instance type, or of all servers.
type capacityStats struct {
	instanceType     uint16
	qps, utilization float64 // sums over the servers
	meanSize         float64
	meanWeight       float64 // requests per second at full utilization; 0: unknown
}

// addReport processes a load report. A report with impossible values is ignored. So is a report without
// requests or load, which says nothing about capacity (A58): such a server keeps the mean weight.
func (b *Balancer) addReport(s *server, values []float32) {
	report, ok := b.settings.parseReport(values)
	if !ok || report.qps <= 0 || report.utilization <= 0 {
		return
	}
	if s.nonEmptySince == 0 {
		s.nonEmptySince = max(1, b.now)
	}
	elapsed := b.now - s.lastReportAt
	s.lastReportAt = b.now
	if report == s.lastReport {
		return // the server has not updated its figures: the same sample must not count twice
	}
	s.lastReport = report
	decay := wrr.Decay(float64(elapsed), reportTimeConstant)
	s.qpsSum = s.qpsSum*decay + report.qps
	s.utilizationSum = s.utilizationSum*decay + report.utilization
	s.epsSum = s.epsSum*decay + report.eps
	s.reportWeight = s.reportWeight*decay + 1
}

// discardReports discards all reports of s, which restarts the blackout period.
func (s *server) discardReports() {
	s.qpsSum, s.utilizationSum, s.epsSum, s.reportWeight, s.nonEmptySince = 0, 0, 0, 0, 0
}

// weightPeriods are the periods of package wrr, in microseconds.
var weightPeriods = wrr.Periods{Expiration: weightExpiration, Blackout: blackoutPeriod}

// baseWeight returns the A58 weight of s in requests per second at full utilization, or the mean weight in
// the blackout period and after expiration. A single report is a noisy sample of a short time, so the weight
// is computed from the decaying sums, with a little of the mean mixed in; m is meanReportWeight:
//
//	(qps + m*mean) / (utilization + m + eps/qps*errorUtilizationPenalty)
func (b *Balancer) baseWeight(s *server) float64 {
	mean := b.expectedWeight(s)
	if s.nonEmptySince == 0 || s.reportWeight == 0 {
		return mean
	}
	switch weightPeriods.Check(float64(b.now-s.lastReportAt), float64(b.now-s.nonEmptySince)) {
	case wrr.Expired:
		s.discardReports()
		return mean
	case wrr.InBlackout:
		return mean
	}
	qps, utilization := s.qpsSum/s.reportWeight, s.utilizationSum/s.reportWeight
	errorShare := s.epsSum / s.qpsSum
	return wrr.Weight(
		qps+meanReportWeight*mean, utilization+meanReportWeight, errorShare, errorUtilizationPenalty)
}

// expectedWeight returns the mean weight of servers like s: that of its instance type if it is known, else
// that of all servers, scaled by listed size.
func (b *Balancer) expectedWeight(s *server) float64 {
	if ofType := &b.instanceTypes[s.instanceType]; ofType.meanWeight > 0 {
		return ofType.meanWeight
	}
	hasSizes := b.settings.SizesKnown && b.overall.meanSize > 0 && s.size > 0
	if b.overall.meanWeight > 0 {
		if hasSizes {
			return b.overall.meanWeight * s.size / b.overall.meanSize
		}
		return b.overall.meanWeight
	}
	// Nothing has been reported yet. Listed sizes still give relative capacities; the mean is each server's
	// fair share of the traffic.
	weight := b.fairShare()
	if hasSizes {
		weight *= s.size / b.overall.meanSize
	}
	return weight
}

// fairShare returns a server's part of all traffic in requests per second, assuming that every balancer has
// as much traffic as this one.
func (b *Balancer) fairShare() float64 {
	return max(1, b.arrivalRate*float64(b.settings.GroupSize)) / float64(max(1, len(b.members)))
}

// refreshWeight updates the weight and relative work time of s.
func (b *Balancer) refreshWeight(s *server) {
	capacity := b.baseWeight(s) * s.healthFactor()
	if mean := b.overall.meanWeight; capacity > 0 {
		if mean == 0 { // without reports, only listed sizes differ
			mean = b.fairShare()
		}
		s.relativeWorkTime = max(minRelativeWorkTime, min(mean/capacity, maxRelativeWorkTime))
	}
	b.setWeight(s, max(minWeight, capacity*b.slowStartFactor(s)*b.zoneFactor(s)))
	b.updateSchedule(s)
}

// updateMeans computes the mean weight of each instance type and of all servers: the ratio of summed rates to
// summed utilization, which unlike a mean of ratios is not distorted by the noise of idle servers. Servers
// that warm up or have not reported are left out. Without new data the last means are kept.
func (b *Balancer) updateMeans() {
	var all capacityStats
	listed, totalSize := 0.0, 0.0
	for i := range b.instanceTypes {
		b.instanceTypes[i].qps, b.instanceTypes[i].utilization = 0, 0
	}
	for _, s := range b.members {
		if !s.listed {
			continue
		}
		totalSize += s.size
		listed++
		if s.warmingUp || s.reportWeight == 0 || s.nonEmptySince == 0 {
			continue
		}
		ofType := &b.instanceTypes[s.instanceType]
		qps, utilization := s.qpsSum/s.reportWeight, s.utilizationSum/s.reportWeight
		ofType.qps, ofType.utilization = ofType.qps+qps, ofType.utilization+utilization
		all.qps, all.utilization = all.qps+qps, all.utilization+utilization
	}
	if listed > 0 {
		b.overall.meanSize = totalSize / listed
	}
	for i := range b.instanceTypes {
		if t := &b.instanceTypes[i]; t.utilization > minMeanEvidence {
			t.meanWeight = t.qps / t.utilization
		}
	}
	if all.utilization > 0 {
		b.overall.meanWeight = all.qps / all.utilization
	}
}
