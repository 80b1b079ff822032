package model_test

import (
	"fmt"
	"testing"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/model"
)

// BenchmarkRun measures the simulator's speed by the size of the fleet. There is one proxy for each 100 servers, at
// least four.
func BenchmarkRun(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 10000} {
		for _, policy := range []string{"decide", "least"} {
			b.Run(fmt.Sprintf("servers=%d/%s", servers, policy), func(b *testing.B) {
				sc := model.DefaultScenario()
				sc.Servers, sc.Proxies, sc.Duration = servers, max(4, servers/100), 10*sec
				sc.Discovery.CallsPerSecond = 1000
				if servers >= 1000 {
					sc.Duration = 2 * sec
				}
				newNode := model.NodeFactory(newProductNode)
				if policy != "decide" {
					newNode = baseline.NewFactory(policy)
				}
				events, simulatedSeconds, requests := int64(0), 0.0, int64(0)
				for i := range b.N {
					stats, err := model.Run(&sc, uint64(i+1), newNode, observerFunc(func(*model.Record) {}))
					if err != nil {
						b.Fatal(err)
					}
					events, requests = events+stats.Events, requests+stats.Requests
					simulatedSeconds += float64(stats.End) / 1e6
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
				b.ReportMetric(simulatedSeconds/b.Elapsed().Seconds(), "x-real-time")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
