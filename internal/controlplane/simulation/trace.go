package simulation

import (
	"fmt"
	"strings"
)

// Trace runs a simulation and returns its trace, one line for each entry: the options, the injected faults, the view
// changes, the final state of each machine, and the violations. Scripts read it from pumicectl's output.
func Trace(options Options) string {
	result := Run(options)
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d members, tolerance %d, wild %v, without faults %v\n",
		options.Seed, options.Members, options.Tolerance, options.BeyondTolerance, options.OmittedFaults)
	for _, fault := range result.InjectedFaults {
		text.WriteString(fault.String() + "\n")
	}
	text.WriteString(strings.Join(append(result.ViewChanges, result.FinalStates...), "\n") + "\n")
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "    %v\n", violation)
	}
	return text.String()
}
