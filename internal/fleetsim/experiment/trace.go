package experiment

import (
	"encoding/json"
	"io"

	"pumiceline/internal/fleetsim/model"
)

// Tracer is an observer that writes records as JSON lines: the time in seconds, the kind's name, and the record. After
// an error of Out it writes nothing more, but the run continues, because a run's result must not depend on its trace.
type Tracer struct {
	Out       io.Writer
	RequestID uint64 // if not 0, only records with this ID, a request's at its proxy, are written
	err       error
}

// traceLine is the JSON form of a record.
type traceLine struct {
	Seconds float64       `json:"s"`
	Kind    string        `json:"what"`
	Record  *model.Record `json:"record"`
}

// Observe implements model.Observer.
func (t *Tracer) Observe(r *model.Record) {
	if t.err != nil || t.RequestID != 0 && r.ID != t.RequestID {
		return
	}
	text, err := json.Marshal(traceLine{float64(r.At) / 1e6, r.Kind.String(), r})
	if err == nil {
		_, err = t.Out.Write(append(text, '\n'))
	}
	t.err = err
}

// teeObserver passes each record to several observers, in their order.
type teeObserver []model.Observer

// Observe implements model.Observer.
func (t teeObserver) Observe(r *model.Record) {
	for _, o := range t {
		o.Observe(r)
	}
}
