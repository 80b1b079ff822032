package fakestandalone

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"pumiceline/internal/singleton"
	"pumiceline/internal/singleton/leaseclient"
)

// Recorder is a fake of an outside system that carries out effects with fencing tokens: POST /effects with a
// singleton.Effect, 409 for a stale one. An effect is on disk before the response that accepts it, so that after a restart
// the recorder rejects what it would have rejected before.
// It is an http.Handler and safe for concurrent use.
type Recorder struct {
	// Unfenced has it accept stale effects too, as a receiver would that can't compare tokens. It must not change once the
	// recorder serves.
	Unfenced bool

	mu       sync.Mutex
	file     *os.File
	guard    singleton.FencingGuard
	accepted []AcceptedEffect
	rejected []string
}

// AcceptedEffect is a line of the recorder's file, in the order in which effects were accepted.
type AcceptedEffect struct {
	singleton.Effect
	From string    `json:"from"` // instance that sent it
	At   time.Time `json:"at"`
}

const maxEffectBytes = 4 << 10

// NewRecorder returns a recorder with the effects that a file has, a JSON object a line; it creates the file if it does not
// exist. An incomplete last line is of an effect that was never acknowledged, and is removed.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("recorder: %w", err)
	}
	r := &Recorder{file: file}
	if err := r.load(); err != nil {
		file.Close()
		return nil, fmt.Errorf("recorder: %s: %w", path, err)
	}
	return r, nil
}

// load reads the file and leaves it at the end of its last complete line.
func (r *Recorder) load() error {
	var end int64 // of the complete lines
	for in := bufio.NewReader(r.file); ; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break // the end, or an incomplete line before it
		}
		var e AcceptedEffect
		if err := json.Unmarshal(bytes.TrimSpace(line), &e); err != nil {
			return fmt.Errorf("line at byte %d: %w", end, err)
		}
		end += int64(len(line))
		_ = r.guard.Admit(e.Effect) // an error is that of a stale effect that was accepted unfenced
		r.accepted = append(r.accepted, e)
	}
	if err := r.file.Truncate(end); err != nil {
		return err
	}
	_, err := r.file.Seek(end, io.SeekStart)
	return err
}

// Close closes the file.
func (r *Recorder) Close() error { return r.file.Close() }

// Accepted returns the accepted effects in their order.
func (r *Recorder) Accepted() []AcceptedEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.accepted)
}

// Rejected returns why effects were rejected, each reason with both tokens, in their order.
func (r *Recorder) Rejected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rejected)
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var e singleton.Effect
	body := http.MaxBytesReader(w, req.Body, maxEffectBytes)
	if req.Method != http.MethodPost || json.NewDecoder(body).Decode(&e) != nil || e.Role == "" {
		http.Error(w, "no effect", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.guard.Admit(e); err != nil && !r.Unfenced {
		r.rejected = append(r.rejected, err.Error())
		status := http.StatusInsufficientStorage
		var stale *singleton.StaleEffectError
		if errors.As(err, &stale) {
			status = http.StatusConflict
		}
		http.Error(w, err.Error(), status)
		return
	}
	accepted := AcceptedEffect{Effect: e, From: req.Header.Get(leaseclient.SenderHeader), At: time.Now()}
	if err := r.store(accepted); err != nil { // it may be stored or not; sent again with this serial it may be rejected
		http.Error(w, "not written down: "+err.Error(), http.StatusInternalServerError)
		return
	}
	r.accepted = append(r.accepted, accepted)
}

// store appends an effect to the file. The caller holds r.mu.
func (r *Recorder) store(e AcceptedEffect) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		return err
	}
	return r.file.Sync()
}

// FindViolations counts the accepted effects that must not have been accepted: of a lower token than one before, of another
// sender than its token's others, or not in the order of its token's serials. It looks at nothing but the
// accepted effects and their order, and describes the first violation.
func FindViolations(accepted []AcceptedEffect) (violations int, first string) {
	latest := map[string]AcceptedEffect{} // by role
	for _, e := range accepted {
		previous, known := latest[e.Role]
		if known && e.violatesOrder(previous) {
			if violations++; first == "" {
				first = fmt.Sprintf("%s: token %d, serial %d of %s counts after token %d, serial %d of %s", e.Role, e.Token, e.Serial,
					e.From, previous.Token, previous.Serial, previous.From)
			}
		}
		if !known || e.Token >= previous.Token {
			latest[e.Role] = e
		}
	}
	return violations, first
}

// violatesOrder says whether an effect must not be accepted after another of its role.
func (e AcceptedEffect) violatesOrder(previous AcceptedEffect) bool {
	return e.Token < previous.Token ||
		e.Token == previous.Token && (e.From != previous.From || e.Serial <= previous.Serial)
}
