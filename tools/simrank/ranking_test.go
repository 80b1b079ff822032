package main

import (
	"math"
	"slices"
	"strings"
	"testing"
)

func TestRanks_MeanOfTies(t *testing.T) {
	if got, want := ranks([]float64{3, 1, 3, 2}), []float64{2.5, 0, 2.5, 1}; !slices.Equal(got, want) {
		t.Errorf("ranks %v, want %v", got, want)
	}
}

func TestSpearman(t *testing.T) {
	for _, c := range []struct {
		a, b []float64
		want float64
	}{
		{[]float64{1, 2, 3}, []float64{10, 100, 1000}, 1},
		{[]float64{1, 2, 3}, []float64{9, 4, 1}, -1},
		{[]float64{1, 2, 3, 4}, []float64{2, 1, 4, 3}, 0.6},
	} {
		if got := spearman(c.a, c.b); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%v and %v: %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

func TestRanking_Print(t *testing.T) {
	r := newRanking([]measurement{{"quiet", "a", 0.9, 0.8}, {"quiet", "b", 0.7, 0.6}, {"overload", "a", 0.2, 0.1},
		{"overload", "b", 0.1, 0.3}})
	var out strings.Builder
	if err := r.print(&out); err != nil {
		t.Fatal(err)
	}
	const want = `world     variant  simulator  laboratory
quiet     a        0.900      0.800
quiet     b        0.700      0.600
overload  a        0.200      0.100
overload  b        0.100      0.300
rank correlation over 4 variants: 0.800
  within quiet, 2 variants: 1.000
  within overload, 2 variants: -1.000
`
	if out.String() != want {
		t.Errorf("printed\n%s\nwant\n%s", out.String(), want)
	}
}
