package plots

import (
	"bytes"
	"context"
	"image/png"
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/experiment"
)

// Each figure of a small sweep must be valid as SVG and PNG. The page must contain all of them and load no external
// resources.
func TestHTML_IsSelfContained(t *testing.T) {
	e, err := experiment.Parse("x.toml", []byte(`
title = "Two <sizes>"
policies = ["decide", "random"]
seeds = [1, 2]
[world]
length = "4s"
load = 0.9
[[world.trouble]]
kind = "deploy"
at = "1s"
for = "1s"
part = 1.0
size = 1.0
every = "500ms"
[[sweep]]
key = "world.servers"
values = [8, 16]
log = true
`))
	if err != nil {
		t.Fatal(err)
	}
	var results []*experiment.Result
	if err := e.Run(context.Background(), 2, func(r *experiment.Result) error {
		results = append(results, r)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	measures := experiment.Measures
	figures, err := All(results, measures)
	if err != nil {
		t.Fatal(err)
	}
	if len(figures) != len(measures)+2*2 {
		t.Errorf("%d figures", len(figures))
	}
	for _, f := range figures {
		if !bytes.Contains(f.SVG, []byte("<svg")) || !bytes.Contains(f.SVG, []byte("decide")) {
			t.Errorf("%s: no SVG with a legend", f.Name)
		}
		img, err := png.Decode(bytes.NewReader(f.PNG))
		if err != nil || img.Bounds().Dx() < 400 {
			t.Errorf("%s: %v", f.Name, err)
		}
		if err := f.Save(t.TempDir()); err != nil {
			t.Error(err)
		}
	}
	var page bytes.Buffer
	if err := HTML(&page, results, measures, figures); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<svg"); n != len(figures) {
		t.Errorf("the page has %d of %d figures", n, len(figures))
	}
	for _, outside := range []string{"<script", "<link", "<img", "src=", "url(http", "<sizes>"} {
		if strings.Contains(text, outside) {
			t.Errorf("the page has %s", outside)
		}
	}
	if !strings.Contains(text, "pumiceline lab replay x.toml --policy=random") {
		t.Error("the page does not have the command that repeats a run that violated a rule")
	}
}

func TestAll_RejectsDamagedHistogram(t *testing.T) {
	e, err := experiment.Parse("x.toml", []byte("[world]\nlength = \"3s\""))
	if err != nil {
		t.Fatal(err)
	}
	var results []*experiment.Result
	if err := e.Run(context.Background(), 1, func(r *experiment.Result) error {
		results = append(results, r)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if figures, err := All(results, nil); err != nil || len(figures) != 2+len(e.Scenario.Classes) {
		t.Errorf("%d figures, %v", len(figures), err)
	}
	results[0].Report.Latency["quick-quote"] = "damaged"
	if _, err := All(results, nil); err == nil || !strings.Contains(err.Error(), "quick-quote") {
		t.Errorf("a damaged histogram gives %v", err)
	}
}
