package fakestandalone

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"pumiceline/internal/singleton"
)

// Recorder stands for an outside system that takes effects with their tokens: POST /effects with an ownership.Effect, 409 for one that
// comes too late. What it took is on disk before it says so, and so is what it compares with.
type Recorder struct {
	// Unfenced has it take whatever comes, to show what a receiver that can't compare tokens would suffer. Set before it serves.
	Unfenced bool

	mu      sync.Mutex
	file    *os.File
	guard   singleton.FencingGuard
	taken   []AcceptedEffect
	refused []string
}

// AcceptedEffect is an effect that counts, in the order in which they did.
type AcceptedEffect struct {
	singleton.Effect
	From string    `json:"from"` // who sent it
	At   time.Time `json:"at"`
}

// NewRecorder goes on with what stands in the file, a JSON object a line; a last line without an end was never acknowledged and is cut off.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("standin: recorder: %w", err)
	}
	r := &Recorder{file: file}
	var whole int64
	for in := bufio.NewReader(file); ; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break // the end, or a line that was cut off by it
		}
		var t AcceptedEffect
		if err := json.Unmarshal(bytes.TrimSpace(line), &t); err != nil {
			file.Close()
			return nil, fmt.Errorf("standin: recorder: %s at byte %d: %w", path, whole, err)
		}
		whole += int64(len(line))
		_ = r.guard.Admit(t.Effect) // of an unfenced time: the highest stays
		r.taken = append(r.taken, t)
	}
	if err := file.Truncate(whole); err != nil {
		file.Close()
		return nil, fmt.Errorf("standin: recorder: %w", err)
	}
	if _, err := file.Seek(whole, 0); err != nil {
		file.Close()
		return nil, fmt.Errorf("standin: recorder: %w", err)
	}
	return r, nil
}

// Close closes the file.
func (r *Recorder) Close() error { return r.file.Close() }

// AcceptedEffect and Refused are what counted and what did not, in order.
func (r *Recorder) Accepted() []AcceptedEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]AcceptedEffect(nil), r.taken...)
}

// Rejected are the reasons, each naming both tokens.
func (r *Recorder) Rejected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.refused...)
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var e singleton.Effect
	if req.Method != http.MethodPost || json.NewDecoder(http.MaxBytesReader(w, req.Body, 4<<10)).Decode(&e) != nil || e.Role == "" {
		http.Error(w, "no effect", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.guard.Admit(e); err != nil && !r.Unfenced {
		r.refused = append(r.refused, err.Error())
		var older *singleton.StaleEffectError
		if errors.As(err, &older) {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	t := AcceptedEffect{Effect: e, From: req.Header.Get("X-From"), At: time.Now()}
	line, err := json.Marshal(t)
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	if err == nil {
		err = r.file.Sync()
	}
	if err != nil { // whether it is there nobody knows: not acknowledged, and not to be sent again with this serial
		http.Error(w, "not written down: "+err.Error(), http.StatusInternalServerError)
		return
	}
	r.taken = append(r.taken, t)
}

// FindViolations finds the first effect that harms: of an older token than one before it, of another sender than its token's others, or out of
// order within its token. It looks at what counted alone, not at what anybody believed. 0 harms, "" where there is none.
func FindViolations(taken []AcceptedEffect) (harms int, first string) {
	latest := map[string]AcceptedEffect{}
	for _, t := range taken {
		was, there := latest[t.Role]
		if there && (t.Token < was.Token || t.Token == was.Token && (t.From != was.From || t.Serial <= was.Serial)) {
			if harms++; first == "" {
				first = fmt.Sprintf("%s: token %d, serial %d of %s counts after token %d, serial %d of %s", t.Role, t.Token, t.Serial, t.From, was.Token,
					was.Serial, was.From)
			}
		}
		if !there || t.Token >= was.Token {
			latest[t.Role] = t
		}
	}
	return harms, first
}
