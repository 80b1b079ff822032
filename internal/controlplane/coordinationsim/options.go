package coordinationsim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Options of a run. Their JSON keys are part of pumicectl's output, and its --options reads them.
type Options struct {
	Seed       uint64        `json:"Seed"`
	Members    int           `json:"Members"`   // number of machines; all of them vote after growthDelay
	Tolerance  int           `json:"Tolerance"` // number of disks that may be lost at one time
	FaultPhase time.Duration `json:"Length"`    // how long faults are injected
	History    time.Duration `json:"History"`   // minimum time that events are kept for watches
	// WithoutFinalFault leaves out the loss of all power at the end.
	WithoutFinalFault bool `json:"WithoutFinalFault,omitempty"`
	// WithoutAnswerFaults leaves out the unplanned faults that follow an answer or a view.
	WithoutAnswerFaults bool `json:"WithoutAnswerFaults,omitempty"`
	// OmittedFaults are the indexes of planned faults that are left out.
	OmittedFaults []int `json:"OmittedFaults,omitempty"`
	// ScriptedFaults replace the faults that the seed draws.
	ScriptedFaults []Fault `json:"ScriptedFaults,omitempty"`
	// Defect is planted into the coordinators to prove that a check detects it.
	Defect Defect `json:"Defect,omitempty"`
}

// Parameters of drawn options.
const (
	shapeStream       = 0x63736861 // stream of the generator
	drawnFaultPhase   = 24 * time.Second
	longHistory       = 20 * time.Second
	shortHistory      = 5 * time.Second
	shortHistoryOneIn = 4
)

// drawnShapes are the clusters to draw from: how many members, and how many disks may be lost at one time.
var drawnShapes = []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}, {7, 2}, {8, 2}}

// DrawOptions returns the options of a run whose shape the seed draws.
func DrawOptions(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, shapeStream))
	shape := drawnShapes[random.IntN(len(drawnShapes))]
	options := Options{
		Seed: seed, Members: shape.members, Tolerance: shape.tolerance, FaultPhase: drawnFaultPhase, History: longHistory,
	}
	if random.IntN(shortHistoryOneIn) == 0 {
		options.History = shortHistory
	}
	return options
}

// String returns the JSON that ParseOptions reads.
func (o Options) String() string {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // cannot fail: the options hold numbers and booleans only
	}
	return string(text)
}

// ParseOptions reads options as String writes them.
func ParseOptions(text string) (Options, error) {
	var options Options
	if err := json.Unmarshal([]byte(text), &options); err != nil {
		return Options{}, fmt.Errorf("read options: %w", err)
	}
	return options, nil
}
