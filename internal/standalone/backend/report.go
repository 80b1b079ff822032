package backend

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ReportHeader is the header that carries a destination's load report.
const ReportHeader = "X-Backend-Load"

// reportNameAliases maps the names that a report may use to those of the settings' columns.
var reportNameAliases = map[string]string{
	"util": "cpu", "cpu_utilization": "cpu", "qps": "rps", "rps_fractional": "rps", "eps": "err_rps",
	"inflight": "active", "queue": "waiting", "latency_ms": "avg_ms",
}

// ParseReport reads a load report such as "TEXT util=0.61, qps=12, eps=0" into values in the order of columns.
// A report that lacks a column is an error: a value made up would be taken for the destination's word.
func ParseReport(text string, columns []string) ([]float32, error) {
	body, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return nil, fmt.Errorf("load report %.80q: not in the form TEXT name=value, name=value", text)
	}
	found := make(map[string]float32, len(columns))
	for field := range strings.SplitSeq(body, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, fmt.Errorf("load report %.80q: field %q has no value", text, field)
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("load report %.80q: field %q is no number", text, field)
		}
		name = strings.TrimSpace(name)
		if own, ok := reportNameAliases[name]; ok {
			name = own
		}
		found[name] = float32(v)
	}
	values := make([]float32, len(columns))
	for i, c := range columns {
		v, ok := found[c]
		if !ok {
			return nil, fmt.Errorf("load report %.80q: %s is missing", text, c)
		}
		values[i] = v
	}
	return values, nil
}
