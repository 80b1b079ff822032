package experiment

import (
	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/fleetsim/withadmission"
	"pumiceline/internal/fleetsim/withsubset"
	"pumiceline/internal/standalone/policy"
)

// Names of the policies beside those of package baseline, as experiment files and results have them.
const (
	PolicyProduct         = "decide"      // the product's own policy, package policy
	PolicyWithoutKeys     = "keyless"     // the same without key affinity
	PolicyWithoutPolls    = "unprobed"    // the same without load polls
	PolicyAdmission       = "door"        // the same behind admission control
	PolicyAdmissionSilent = "door-silent" // the same, with rejections that name no Retry-After
	PolicyHalf            = "half"        // the same with a subset of the servers
	PolicyQuarter         = "quarter"
	PolicyEighth          = "eighth"
)

// Policies are the policies that an experiment may name, with the factories of their nodes.
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

// withSettings gives a factory's nodes other settings than the scenario has.
func withSettings(newNode model.NodeFactory, change func(*policy.Settings)) model.NodeFactory {
	return func(settings policy.Settings, seed uint64, oracle *model.Oracle) (model.Node, error) {
		change(&settings)
		return newNode(settings, seed, oracle)
	}
}
