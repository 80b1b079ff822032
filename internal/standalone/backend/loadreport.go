package backend

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// ReportHeader is the header of a response that carries the backend's load report.
	ReportHeader = "X-Backend-Load"
	// reportPrefix is the start of every load report.
	reportPrefix = "TEXT "
)

// reportNameAliases maps names that a report may use (those of ORCA, the open request cost aggregation, among them)
// to the columns of the settings.
var reportNameAliases = map[string]string{
	"util":            "cpu",
	"cpu_utilization": "cpu",
	"qps":             "rps",
	"rps_fractional":  "rps",
	"eps":             "err_rps",
	"inflight":        "active",
	"queue":           "waiting",
	"latency_ms":      "avg_ms",
}

// ParseReport reads a load report such as "TEXT util=0.61, qps=12, eps=0" and returns its values in the order of
// columns. A report that lacks a column is an error: the policy could not distinguish a default from a reported value.
func ParseReport(text string, columns []string) ([]float32, error) {
	fields, ok := strings.CutPrefix(strings.TrimSpace(text), reportPrefix)
	if !ok {
		return nil, fmt.Errorf("load report %.80q: not in the form TEXT name=value, name=value", text)
	}
	found := make(map[string]float32, len(columns))
	for field := range strings.SplitSeq(fields, ",") {
		name, valueText, ok := strings.Cut(field, "=")
		if !ok {
			return nil, fmt.Errorf("load report %.80q: field %q has no value", text, field)
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(valueText), 32)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return nil, fmt.Errorf("load report %.80q: field %q is no number", text, field)
		}
		name = strings.TrimSpace(name)
		if column, ok := reportNameAliases[name]; ok {
			name = column
		}
		found[name] = float32(value)
	}
	values := make([]float32, len(columns))
	for i, column := range columns {
		value, ok := found[column]
		if !ok {
			return nil, fmt.Errorf("load report %.80q: %s is missing", text, column)
		}
		values[i] = value
	}
	return values, nil
}
