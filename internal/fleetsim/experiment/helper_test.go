package experiment

import "pumiceline/internal/fleetsim/checker"

func reportOf(g float64) *checker.Report { return &checker.Report{G: g} }
