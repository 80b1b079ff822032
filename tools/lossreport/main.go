// Command lossreport shows where the value of a simulated day was lost. It reads the debug logs of proxies and
// coordinators from standard input, and prints for each route how many requests were late, by cause, and how many were
// rejected or failed and why; then the placement commands and the reasons of placement tasks. With -report, which names
// the JSON report of the same run, it also prints the loss by that report beside the loss by the log.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of the log.
const maxLineBytes = 1 << 20

// errNoRequests is returned for a log that has no finished request.
var errNoRequests = errors.New("the log has no finished request: are the proxies started with --log-level=debug?")

func main() {
	flags := flag.NewFlagSet("lossreport", flag.ContinueOnError)
	report := flags.String("report", "", "report of the same run, as JSON")
	command := &ffcli.Command{
		Name: "lossreport", ShortUsage: "lossreport [-report FILE] < LOG", FlagSet: flags,
		ShortHelp: "where the value of a simulated day was lost",
		Exec: func(context.Context, []string) error {
			return run(os.Stdin, os.Stdout, *report)
		},
	}
	if err := command.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lossreport:", err)
		os.Exit(1)
	}
}

func run(log io.Reader, out io.Writer, reportPath string) error {
	summary := newLossSummary()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if err := summary.addLine(scanner.Text()); err != nil {
			return errors.Wrapf(err, "line %d", number)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "reading the log")
	}
	if summary.requests == 0 {
		return errNoRequests
	}
	summary.print(out)
	if reportPath == "" {
		return nil
	}
	report, err := readReport(reportPath)
	if err != nil {
		return err
	}
	report.print(out, summary.loss())
	return nil
}

// dayReport is a report of the operators' simulator, with the fields that are read.
type dayReport struct {
	Classes []struct {
		Name     string  `json:"name"`
		Requests int     `json:"n"`
		Value    float64 `json:"worth"` // share that was served
	} `json:"classes"`
}

func readReport(path string) (*dayReport, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the report")
	}
	report := &dayReport{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(report.Classes) == 0 {
		return nil, errors.Errorf("%s: classes: a list with an entry is wanted", path)
	}
	return report, nil
}

// print prints the loss of each class and of all, and the loss that the log gave.
func (r *dayReport) print(out io.Writer, lossByLog float64) {
	fmt.Fprintf(out, "\nloss by the report, in requests; by this log %.0f, a client's further tries counted each\n",
		lossByLog)
	total := 0.0
	for _, class := range r.Classes {
		loss := float64(class.Requests) * (1 - class.Value)
		total += loss
		fmt.Fprintf(out, "  %-28s %7.0f of %d\n", class.Name, loss, class.Requests)
	}
	fmt.Fprintf(out, "  %-28s %7.0f\n", "all", total)
}
