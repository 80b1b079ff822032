package plots

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strconv"

	"pumiceline/internal/fleetsim/experiment"
)

// maxProblemsListed is the highest number of runs with violations or errors that a report lists.
const maxProblemsListed = 20

var reportPage = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222; background: #fff }
table { border-collapse: collapse; margin: 1rem 0 } th, td { padding: .2rem .7rem; border-bottom: 1px solid #ddd; text-align: right }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left } figure { margin: 1.5rem 0 } svg { width: 100%; height: auto }
code { background: #f3f3f3; padding: .1rem .3rem } .bad { color: #b00 }
</style></head><body>
<h1>{{.Title}}</h1><p>{{.Text}}</p>
<p>{{.Runs}} runs over {{.Seeds}} seeds. Intervals are 95% confidence intervals over the seeds; differences are paired by seed.</p>
{{range .Tables}}<h2>{{.Name}}</h2><table><tr><th>point</th><th>policy</th><th>mean</th><th>less the first policy</th><th>runs that violated a rule</th></tr>
{{range .Rows}}<tr><td>{{.Point}}</td><td>{{.Policy}}</td><td>{{.Mean}}</td><td>{{.Difference}}</td><td{{if .HasProblem}} class="bad"{{end}}>{{.Problems}}</td></tr>
{{end}}</table>{{end}}
{{range .Figures}}<figure>{{.}}</figure>
{{end}}
{{if .Problems}}<h2>Violations and errors, with the command that repeats each run</h2><ul>{{range .Problems}}<li><span class="bad">{{.Text}}</span><br><code>{{.Replay}}</code></li>{{end}}</ul>{{end}}
</body></html>
`))

// report is the data of reportPage.
type report struct {
	Title, Text string
	Runs, Seeds int
	Tables      []reportTable
	Figures     []template.HTML
	Problems    []reportProblem
}

// reportTable compares the policies by one measure.
type reportTable struct {
	Name string
	Rows []reportRow
}

type reportRow struct {
	Point, Policy, Mean, Difference, Problems string
	HasProblem                                bool
}

// reportProblem is a run that violated a rule or ended early.
type reportProblem struct{ Text, Replay string }

// HTML writes a page without external resources: tables, figures, and the replay commands of the runs that violated a
// rule or ended early.
func HTML(w io.Writer, results []*experiment.Result, measures []experiment.Measure, figures []*Figure) error {
	r := report{Runs: len(results), Seeds: countSeeds(results), Problems: listProblems(results)}
	if len(results) > 0 {
		if r.Title, r.Text = results[0].Title, results[0].Text; r.Title == "" {
			r.Title = results[0].Experiment
		}
	}
	for _, m := range measures {
		r.Tables = append(r.Tables, newReportTable(results, m))
	}
	for _, f := range figures {
		r.Figures = append(r.Figures, inlineSVG(f))
	}
	return reportPage.Execute(w, r)
}

func countSeeds(results []*experiment.Result) int {
	seeds := map[uint64]bool{}
	for _, r := range results {
		seeds[r.Seed] = true
	}
	return len(seeds)
}

func listProblems(results []*experiment.Result) []reportProblem {
	var problems []reportProblem
	for _, r := range results {
		switch {
		case len(problems) >= maxProblemsListed:
			return problems
		case r.Error != "":
			problems = append(problems, reportProblem{r.Policy + ": " + r.Error, r.Replay})
		case !r.Report.HasNoViolations():
			problems = append(problems, reportProblem{r.Policy + ": " + r.Report.Violations[0].String(), r.Replay})
		}
	}
	return problems
}

func newReportTable(results []*experiment.Result, m experiment.Measure) reportTable {
	t := reportTable{Name: m.Text}
	for _, c := range experiment.Compare(results, m) {
		problems := c.RunsWithViolations + c.RunsFailed
		t.Rows = append(t.Rows, reportRow{Point: c.Point, Policy: c.Policy, Mean: formatEstimate(c.Estimate),
			Difference: formatEstimate(c.Difference), Problems: fmt.Sprintf("%d of %d", problems, c.Runs),
			HasProblem: problems > 0})
	}
	return t
}

func formatEstimate(e experiment.Estimate) string {
	switch e.N {
	case 0:
		return ""
	case 1:
		return strconv.FormatFloat(e.Mean, 'f', 3, 64)
	}
	return e.String()
}

// inlineSVG returns a figure as an HTML element, without the XML header of the SVG file. The element is safe as HTML,
// since this package has drawn it and the drawing library escapes texts.
func inlineSVG(f *Figure) template.HTML {
	svg := f.SVG
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}
