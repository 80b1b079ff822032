package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCluster_IsWithinBounds(t *testing.T) {
	const now = 10 * time.Second
	type machine struct{ isLost, isDiskLost bool }
	up, lost, diskLost := machine{}, machine{isLost: true}, machine{isLost: true, isDiskLost: true}
	for _, c := range []struct {
		name     string
		options  Options
		machines []machine
		kind     FaultKind
		count    int
		want     bool
	}{
		{"first loss", Options{}, []machine{up, up, up, up}, PowerLoss, 1, true},
		{"more machines than the tolerance", Options{}, []machine{up, up, up, up}, PowerLoss, 2, false},
		{"a second machine lost", Options{}, []machine{up, up, up, lost}, PowerLoss, 1, false},
		{"a machine that is lost already", Options{}, []machine{lost, up, up, up}, Partition, 1, true},
		{"second machine beyond the tolerance", Options{BeyondTolerance: true}, []machine{up, up, up, lost}, PowerLoss, 1, true},
		{"second disk beyond the tolerance", Options{BeyondTolerance: true}, []machine{up, up, up, diskLost}, DiskLoss, 1, false},
		{"second disk within a tolerance of two", Options{Tolerance: 2}, []machine{up, up, up, diskLost}, DiskLoss, 1, true},
		{"the whole cluster", Options{}, []machine{up, up, up, up}, ClusterPowerLoss, 1, true},
		{"the whole cluster while a machine is lost", Options{}, []machine{up, lost, up, up}, ClusterPowerLoss, 1, false},
		{"the whole cluster without disks", Options{Diskless: 4}, []machine{up, up, up, up}, ClusterPowerLoss, 1, false},
		{"a restart without disks loses the state", Options{Diskless: 4, BeyondTolerance: true},
			[]machine{up, up, up, diskLost}, Kill, 1, false},
		{"half of the cluster cut off", Options{BeyondTolerance: true}, []machine{up, lost, lost, up}, HalfPartition, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := &Cluster{options: c.options, scheduler: scheduler{now: now}}
			cluster.options.Members = len(c.machines)
			cluster.options.Tolerance = max(1, c.options.Tolerance)
			fault := Fault{Kind: c.kind, Count: c.count}
			for slot, m := range c.machines {
				n := cluster.addNode(slot)
				if m.isLost {
					n.lostUntil = now + time.Second
				}
				if m.isDiskLost {
					n.diskLostUntil = now + time.Second
				}
				cluster.slots = append(cluster.slots, n)
				fault.Slots = append(fault.Slots, slot)
			}
			assert.Equal(t, c.want, cluster.isWithinBounds(fault))
		})
	}
}
