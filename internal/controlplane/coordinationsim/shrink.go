package coordinationsim

import "slices"

// Shrink omits faults one at a time and keeps each omission after which the first violated rule is still the same. It
// returns the options of the smallest run that it found. Options of a run without a violation are returned unchanged.
func Shrink(options Options) Options {
	rule := firstViolatedRule(Run(options))
	if rule == "" {
		return options
	}
	try := func(smaller Options) {
		if firstViolatedRule(Run(smaller)) == rule {
			options = smaller
		}
	}
	withoutFinal := options
	withoutFinal.WithoutFinalFault = true
	try(withoutFinal)
	withoutAnswer := options
	withoutAnswer.WithoutAnswerFaults = true
	try(withoutAnswer)
	for _, fault := range FaultPlan(options) {
		if slices.Contains(options.OmittedFaults, fault.Index) {
			continue
		}
		smaller := options
		smaller.OmittedFaults = append(slices.Clone(options.OmittedFaults), fault.Index)
		try(smaller)
	}
	return options
}

// firstViolatedRule returns the rule that was violated first, empty where none was.
func firstViolatedRule(result *Result) Rule {
	if len(result.Violations) == 0 {
		return ""
	}
	return result.Violations[0].Rule
}
