package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
)

// formatVersion is the version of Result's JSON form. ReadResults rejects all other versions.
const formatVersion = 1

// Result is one run: all inputs that are needed to repeat it, and its outcome. Each line of a results file is one
// Result as JSON; the lines are ordered by point, then policy, then seed. The fields are written in the order of this
// struct.
type Result struct {
	Format     int             `json:"format"`
	Experiment string          `json:"experiment"`
	Title      string          `json:"title,omitempty"`
	Text       string          `json:"text,omitempty"`
	Policy     string          `json:"policy"`
	Seed       uint64          `json:"seed"`
	Point      []Setting       `json:"point,omitempty"` // the axes' values
	Axes       []Axis          `json:"axes,omitempty"`
	Replay     string          `json:"replay"` // the command that repeats the run
	Scenario   model.Scenario  `json:"world"`
	Stats      model.Stats     `json:"stats"`
	Report     *checker.Report `json:"report,omitempty"`
	Error      string          `json:"error,omitempty"` // why the run ended early, without a report
}

// Axis says how a swept key is plotted.
type Axis struct {
	Key   string `json:"key"`
	Label string `json:"label"`
	Log   bool   `json:"log,omitempty"` // the scale is logarithmic
}

// PointName returns Point.Name of the result's point. It is empty if nothing was swept.
func (r *Result) PointName() string { return pointName(r.Point) }

// Write writes the result as one line of JSON.
func (r *Result) Write(w io.Writer) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// ReadResults reads a results file. Errors include the line number.
func ReadResults(in io.Reader) ([]*Result, error) {
	var results []*Result
	reader := bufio.NewReader(in)
	for number := 1; ; number++ {
		line, readErr := reader.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			r, err := parseResult(line)
			if err != nil {
				return nil, fmt.Errorf("results: line %d: %w", number, err)
			}
			results = append(results, r)
		}
		if readErr == io.EOF {
			return results, nil
		} else if readErr != nil {
			return nil, fmt.Errorf("results: line %d: %w", number, readErr)
		}
	}
}

func parseResult(line []byte) (*Result, error) {
	r := &Result{}
	if err := json.Unmarshal(line, r); err != nil {
		return nil, err
	}
	if r.Format != formatVersion {
		return nil, fmt.Errorf("format %d, this build reads %d", r.Format, formatVersion)
	}
	return r, nil
}
