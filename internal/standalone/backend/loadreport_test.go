package backend

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestParseReport(t *testing.T) {
	columns := []string{"cpu", "rps", "err_rps"}
	for text, want := range map[string][]float32{
		"TEXT util=0.5, qps=12, eps=0.25":              {0.5, 12, 0.25},
		"TEXT err_rps=0,rps=3 , cpu=1e-1, later=9":     {0.1, 3, 0},
		"TEXT util=0.5, qps=12":                        nil,
		"TEXT util=NaN, qps=12, eps=0":                 nil,
		"TEXT util=, qps=12, eps=0":                    nil,
		"JSON {}":                                      nil,
		"TEXT util=0.5 qps=12 eps=0":                   nil,
		fmt.Sprint("TEXT ", strings.Repeat("x,", 999)): nil,
	} {
		got, err := ParseReport(text, columns)
		if !slices.Equal(got, want) || (err == nil) != (want != nil) {
			t.Errorf("%.60q read as %v, %v", text, got, err)
		}
	}
}

// FuzzParseReport looks for load reports that do not yield one finite value for each column.
func FuzzParseReport(f *testing.F) {
	const complete = "TEXT util=0.5, qps=12, eps=0.25"
	for cut := range complete {
		f.Add(complete[:cut])
	}
	f.Add("TEXT util=1e400, qps==, eps=-0x1p4")
	f.Fuzz(func(t *testing.T, text string) {
		columns := []string{"cpu", "rps", "err_rps"}
		values, err := ParseReport(text, columns)
		if (err == nil) != (len(values) == len(columns)) {
			t.Errorf("%v, %v", values, err)
		}
		for _, v := range values {
			if v != v || v-v != 0 {
				t.Errorf("value %v", v)
			}
		}
	})
}
