package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// inputFor returns an input with two backends for each service. The first one holds the service's first model, and
// each model and its first adapter are in demand.
func inputFor(services map[string]*configuration.Service) *Input {
	in := &Input{
		Now: start, Services: services, Demand: NewDemandTable(), ModelLoadsAllowed: map[string]int{},
	}
	var reports []message.ModelDemand
	for name, service := range services {
		in.ModelLoadsAllowed[name] = 1
		holder, empty := Backend{}, Backend{}
		holder.ID, holder.Service = message.BackendID(name+"-1"), name
		empty.ID, empty.Service = message.BackendID(name+"-2"), name
		if service.Runtime != nil && len(service.Runtime.Models) > 0 {
			holder.Models = []message.LoadedModel{{Name: service.Runtime.Models[0].Name}}
			for _, model := range service.Runtime.Models {
				reports = append(reports,
					message.ModelDemand{Service: name, Model: model.Name, Arrivals: 5, InFlight: 3, Waiting: 1},
					message.ModelDemand{Service: name, Model: model.Name.WithAdapter("a1"), Arrivals: 5, Waiting: 1})
			}
		}
		in.Backends = append(in.Backends, holder, empty)
	}
	for step := range 10 { // the rates are averages over time
		in.Demand.Update(start.Add(time.Duration(step)*100*time.Millisecond), reports)
	}
	in.Now = start.Add(time.Second)
	return in
}

// A panic over one service must not end the process: the other services get their tasks, and the failure says where it
// came from.
func TestPlan_PanicOverOneServiceLeavesOthers(t *testing.T) {
	unplannable := &configuration.Runtime{Models: []configuration.Model{{Name: "m", Adapters: -3}}}
	plannable := &configuration.Runtime{
		WeightCapacityMB: 100, Models: []configuration.Model{{Name: "m"}, {Name: "n", WeightsMB: 10}},
	}
	tasks, failures := Plan(inputFor(map[string]*configuration.Service{
		"bad": {Name: "bad", Runtime: unplannable}, "good": {Name: "good", Runtime: plannable},
	}))
	require.Len(t, failures, 1)
	assert.Equal(t, "bad", failures[0].Service)
	assert.Contains(t, failures[0].Error(), `plan service "bad"`)
	assert.Contains(t, failures[0].Stack, "rankAdapters")
	require.NotEmpty(t, tasks)
	for _, task := range tasks {
		assert.Equal(t, "good", task.Service)
	}
}

// Whatever document is accepted, a plan can be made from it.
func FuzzPlan_OfAcceptedDocument(f *testing.F) {
	const document = `{"version":1,"routes":[],"services":[{"name":"s","maxConns":3,"runtime":{"capacity":%s,"weightsMb":%s,` +
		`"adapterSlots":%s,"loadsPerS":%s,"models":[{"name":"m","weightsMb":%s,"loadS":%s,"adapters":%s,"adapterMb":%s},{"name":"n"}]}}]}`
	for _, number := range []string{"0", "1", "2.5", "-3", "1e300", "100000", "2147483648", "1e-300"} {
		f.Add([]byte(fmt.Sprintf(document, number, number, number, number, number, number, number, number)))
		f.Add([]byte(fmt.Sprintf(document, "8", "100", number, "2", "10", number, number, number)))
	}
	f.Add([]byte(`{"version":1,"routes":[],"services":[{"name":"s","runtime":{"models":[{"name":""},{"name":"a/b"},{"name":"a"}]}}]}`))
	f.Add([]byte(`{"version":1,"routes":[],"services":[{"name":"s","runtime":{"models":[{"name":"m","adapters":1},{"name":"m","adapters":9}]}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := configuration.ParseNew(text)
		if err != nil {
			return
		}
		_, failures := Plan(inputFor(config.Services))
		for _, failure := range failures {
			t.Errorf("%v\n%s", failure, failure.Stack)
		}
	})
}
