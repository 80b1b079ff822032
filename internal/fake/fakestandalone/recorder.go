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

// Recorder is a fake of an external system that executes effects and checks their fencing tokens: a client sends a
// singleton.Effect by POST /effects, and the response to a stale effect is 409. The recorder syncs an effect to disk
// before it sends the response that accepts it. Otherwise a restarted recorder could accept an effect that is older
// than one that it has acknowledged. It is an http.Handler and safe for concurrent use.
type Recorder struct {
	// Unfenced makes the recorder accept stale effects too, like a receiver that can't compare tokens. It must not
	// change once the recorder serves.
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

// NewRecorder returns a recorder with the effects of a file, which has one JSON object per line; it creates the file if
// it does not exist. It removes an incomplete last line: the effect of that line was never acknowledged.
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
			break // the end of the file, or an incomplete last line
		}
		var e AcceptedEffect
		if err := json.Unmarshal(bytes.TrimSpace(line), &e); err != nil {
			return fmt.Errorf("line at byte %d: %w", end, err)
		}
		end += int64(len(line))
		_ = r.guard.Admit(e.Effect) // fails only for an effect that was accepted unfenced
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

// Accepted returns the accepted effects in the order of their acceptance.
func (r *Recorder) Accepted() []AcceptedEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.accepted)
}

// Rejected returns the reasons for the rejections since the start, in order. The reason for a stale effect has both
// tokens.
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
	if err := r.store(accepted); err != nil { // it may be stored or not; a retry with this serial may be rejected
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

// FindViolations counts the accepted effects that should have been rejected. Such an effect has a lower token than an
// earlier effect of its role, or it has the same token but another sender or a serial that is not higher.
// FindViolations uses only the accepted effects and their order. It also returns a description of the first violation.
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

// violatesOrder reports whether an effect must not be accepted after a previous effect of its role.
func (e AcceptedEffect) violatesOrder(previous AcceptedEffect) bool {
	return e.Token < previous.Token ||
		e.Token == previous.Token && (e.From != previous.From || e.Serial <= previous.Serial)
}
