package plots

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"pumiceline/internal/fleetsim/experiment"
)

var reportPage = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222; background: #fff }
table { border-collapse: collapse; margin: 1rem 0 } th, td { padding: .2rem .7rem; border-bottom: 1px solid #ddd; text-align: right }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left } figure { margin: 1.5rem 0 } svg { width: 100%; height: auto }
code { background: #f3f3f3; padding: .1rem .3rem } .bad { color: #b00 }
</style></head><body>
<h1>{{.Title}}</h1><p>{{.Text}}</p>
<p>{{.Plays}} plays over {{.Seeds}} seeds. Intervals are 95% confidence intervals over the seeds; differences are paired by seed.</p>
{{range .Tables}}<h2>{{.Name}}</h2><table><tr><th>point</th><th>policy</th><th>mean</th><th>less the first policy</th><th>plays that broke a rule</th></tr>
{{range .Rows}}<tr><td>{{.Point}}</td><td>{{.Policy}}</td><td>{{.Is}}</td><td>{{.Less}}</td><td{{if .Bad}} class="bad"{{end}}>{{.Broken}}</td></tr>
{{end}}</table>{{end}}
{{range .Figures}}<figure>{{.}}</figure>
{{end}}
{{if .Faults}}<h2>Breaches and faults, with the command that plays each again</h2><ul>{{range .Faults}}<li><span class="bad">{{.What}}</span><br><code>{{.Replay}}</code></li>{{end}}</ul>{{end}}
</body></html>
`))

type reportRow struct {
	Point, Policy, Is, Less, Broken string
	Bad                             bool
}

type reportTable struct {
	Name string
	Rows []reportRow
}

// maxProblemsListed of a report's plays are listed.
const maxProblemsListed = 20

// HTML writes one page that needs nothing else: tables, figures, and how to play again what broke a rule.
func HTML(w io.Writer, results []*experiment.Result, measures []experiment.Measure, figures []*Figure) error {
	type fault struct{ What, Replay string }
	var data struct {
		Title, Text  string
		Plays, Seeds int
		Tables       []reportTable
		Figures      []template.HTML
		Faults       []fault
	}
	seeds := map[uint64]bool{}
	for _, r := range results {
		seeds[r.Seed] = true
		switch {
		case len(data.Faults) >= maxProblemsListed:
		case r.Error != "":
			data.Faults = append(data.Faults, fault{r.Policy + ": " + r.Error, r.Replay})
		case !r.Report.HasNoViolations():
			data.Faults = append(data.Faults, fault{r.Policy + ": " + r.Report.Violations[0].String(), r.Replay})
		}
	}
	if len(results) > 0 {
		if data.Title, data.Text = results[0].Title, results[0].Text; data.Title == "" {
			data.Title = results[0].Experiment
		}
	}
	data.Plays, data.Seeds = len(results), len(seeds)
	for _, m := range measures {
		t := reportTable{Name: m.Text}
		for _, c := range experiment.Compare(results, m) {
			t.Rows = append(t.Rows, reportRow{c.Point, c.Policy, formatEstimate(c.Estimate), formatEstimate(c.Difference),
				fmt.Sprintf("%d of %d", c.RunsWithViolations+c.RunsFailed, c.Runs), c.RunsWithViolations+c.RunsFailed > 0})
		}
		data.Tables = append(data.Tables, t)
	}
	for _, f := range figures {
		svg := f.SVG
		if i := bytes.Index(svg, []byte("<svg")); i > 0 { // what stands before belongs to files
			svg = svg[i:]
		}
		data.Figures = append(data.Figures, template.HTML(svg)) // drawn here, with its text escaped by the drawing library
	}
	return reportPage.Execute(w, data)
}
