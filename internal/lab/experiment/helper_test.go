package experiment

import "pumiceline/internal/lab/referee"

func reportOf(g float64) *referee.Report { return &referee.Report{G: g} }
