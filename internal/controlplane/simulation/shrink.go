package simulation

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Shrink leaves out planned faults, one after the other, as long as the run still breaks the same rule. It returns the
// options of the smallest run that it found.
func Shrink(options Options) Options {
	rule := firstRule(Run(options))
	if rule == "" {
		return options
	}
	for _, fault := range (&Cluster{options: options}).Plan() {
		smaller := options
		smaller.Without = append(slices.Clone(options.Without), fault.Place)
		if !slices.Contains(options.Without, fault.Place) && firstRule(Run(smaller)) == rule {
			options = smaller
		}
	}
	return options
}

func firstRule(result *Result) string {
	if len(result.Violations) == 0 {
		return ""
	}
	return result.Violations[0].Rule
}

// Story tells what struck and what broke, a line each.
func Story(options Options) string {
	result := Run(options)
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d members, tolerance %d, wild %v, without faults %v\n",
		options.Seed, options.Members, options.Tolerance, options.Wild, options.Without)
	lines := lo.Map(result.Struck, func(f Fault, _ int) string { return f.String() + "\n" })
	text.WriteString(strings.Join(lines, ""))
	text.WriteString(strings.Join(append(result.Moves, result.Ends...), "\n") + "\n")
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "    %v\n", violation)
	}
	return text.String()
}
