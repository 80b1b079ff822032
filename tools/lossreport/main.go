// Command account says where the worth of a played day was lost: it reads the proxies' and coordinators' logs at debug
// level from standard input, and gives for each route how many requests were late, by what, and who refused the others and
// why; then what the orders to backends were for. A report of the same play (-report) tells the loss that is to be
// accounted for.
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

// maxLine bounds a line of the log.
const maxLine = 1 << 20

func main() {
	flags := flag.NewFlagSet("account", flag.ContinueOnError)
	report := flags.String("report", "", "report of the same play, as JSON")
	command := &ffcli.Command{
		Name: "account", ShortUsage: "account [-report FILE] < LOG", FlagSet: flags,
		ShortHelp: "where the worth of a played day was lost",
		Exec: func(context.Context, []string) error {
			return run(os.Stdin, os.Stdout, *report)
		},
	}
	if err := command.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

func run(log io.Reader, out io.Writer, reportPath string) error {
	a := newAccount()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for line := 1; scanner.Scan(); line++ {
		if err := a.take(scanner.Text()); err != nil {
			return errors.Wrapf(err, "line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "reading the log")
	}
	if a.requests == 0 {
		return errors.New("the log has no finished request: are the proxies started with --log-level=debug?")
	}
	a.print(out)
	if reportPath == "" {
		return nil
	}
	return compare(a, out, reportPath)
}

// playReport is what is read of a report.
type playReport struct {
	Classes []struct {
		Name  string
		N     int
		Worth float64
	}
}

// compare sets the loss of the report beside that of the account.
func compare(a *account, out io.Writer, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the report")
	}
	var report playReport
	if err := json.Unmarshal(text, &report); err != nil {
		return errors.Wrap(err, path)
	}
	if len(report.Classes) == 0 {
		return errors.Errorf("%s: classes: a list with an entry is wanted", path)
	}
	fmt.Fprintf(out, "\nloss by the report, in requests; by this log %.0f, a client's further tries counted each\n", a.loss())
	total := 0.0
	for _, class := range report.Classes {
		loss := float64(class.N) * (1 - class.Worth)
		total += loss
		fmt.Fprintf(out, "  %-28s %7.0f of %d\n", class.Name, loss, class.N)
	}
	fmt.Fprintf(out, "  %-28s %7.0f\n", "all", total)
	return nil
}
