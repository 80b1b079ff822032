package experiment

import (
	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/fleetsim/withadmission"
	"pumiceline/internal/fleetsim/withsubset"
	"pumiceline/internal/standalone/policy"
)

// Names of the policies in experiment files and results, in addition to the names of package baseline.
const (
	PolicyProduct         = "decide"      // the product's own policy, package policy
	PolicyWithoutKeys     = "keyless"     // the product's policy without key affinity
	PolicyWithoutPolls    = "unprobed"    // the product's policy without load polls
	PolicyAdmission       = "door"        // the product's policy behind admission control
	PolicyAdmissionSilent = "door-silent" // as PolicyAdmission, but its rejections have no Retry-After
	PolicyHalf            = "half"        // the product's policy with a subset of half of the servers
	PolicyQuarter         = "quarter"     // with a quarter of the servers
	PolicyEighth          = "eighth"      // with an eighth of the servers
)

// Policies returns the node factories of the policies that an experiment may name, by name.
func Policies() map[string]model.NodeFactory {
	factories := map[string]model.NodeFactory{
		PolicyProduct:         newProductNode,
		PolicyWithoutKeys:     withSettings(newProductNode, func(s *policy.Settings) { s.KeyAffinity = false }),
		PolicyWithoutPolls:    withSettings(newProductNode, func(s *policy.Settings) { s.Limits.AllowLoadPolls = false }),
		PolicyAdmission:       withadmission.NewFactory(newProductNode, withadmission.Options{SendRetryAfter: true}),
		PolicyAdmissionSilent: withadmission.NewFactory(newProductNode, withadmission.Options{}),
		PolicyHalf:            withsubset.NewFactory(newProductNode, 0.5),
		PolicyQuarter:         withsubset.NewFactory(newProductNode, 0.25),
		PolicyEighth:          withsubset.NewFactory(newProductNode, 0.125),
	}
	for _, name := range baseline.Names() {
		factories[name] = baseline.NewFactory(name)
	}
	return factories
}

func newProductNode(settings policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
	return policy.New(settings, seed)
}

// withSettings returns a factory whose nodes get the scenario's settings with a change applied.
func withSettings(newNode model.NodeFactory, change func(*policy.Settings)) model.NodeFactory {
	return func(settings policy.Settings, seed uint64, oracle *model.Oracle) (model.Node, error) {
		change(&settings)
		return newNode(settings, seed, oracle)
	}
}
