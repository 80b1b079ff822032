package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
)

// Stage is the current phase of a process. Its value is the first byte of the presence file.
type Stage byte

// Stages of a process, in order.
const (
	Starting Stage = 's'
	Serving  Stage = 'r' // accepts connections
	Draining Stage = 'e' // accepts no connections, completes the requests in flight
)

// ProcessState is what a process publishes in its presence file.
type ProcessState struct {
	Stage              Stage
	ClientSockets      uint32
	BackendConnections uint32
}

// stateBytes is the size of an encoded ProcessState.
const stateBytes = 9

// encode returns the stage's byte, then both numbers, big-endian.
func (s ProcessState) encode() []byte {
	b := binary.BigEndian.AppendUint32([]byte{byte(s.Stage)}, s.ClientSockets)
	return binary.BigEndian.AppendUint32(b, s.BackendConnections)
}

// decodeProcessState is the inverse of encode.
func decodeProcessState(b [stateBytes]byte) ProcessState {
	return ProcessState{Stage: Stage(b[0]), ClientSockets: binary.BigEndian.Uint32(b[1:]),
		BackendConnections: binary.BigEndian.Uint32(b[5:])}
}

// Presence is this process's file in the shared folder. The process holds an exclusive lock on it. The kernel releases
// the lock when the process ends, even by a crash, so that the other processes can detect a stale file.
type Presence struct {
	folder *SharedFolder
	file   *os.File
	path   string
}

// Join creates this process's presence file, with stage Starting.
func (d *SharedFolder) Join() (*Presence, error) {
	suffix := fmt.Sprintf("%d-%08x", os.Getpid(), rand.Uint32())
	path, temporary := d.prefix+"process-"+suffix, d.prefix+"joining-"+suffix
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("create presence file: %w", err)
	}
	p := &Presence{folder: d, file: file, path: path}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("lock presence file: %w", err)
	}
	if err := p.Set(ProcessState{Stage: Starting}); err != nil {
		file.Close()
		return nil, err
	}
	// Renamed to its final name only once it is locked: another process would remove an unlocked file as stale.
	if err := os.Rename(temporary, path); err != nil {
		file.Close()
		return nil, fmt.Errorf("rename presence file: %w", err)
	}
	return p, nil
}

// Set publishes the state of this process.
func (p *Presence) Set(s ProcessState) error {
	if _, err := p.file.WriteAt(s.encode(), 0); err != nil {
		return fmt.Errorf("write presence file: %w", err)
	}
	return nil
}

// Leave removes the presence file.
func (p *Presence) Leave() {
	os.Remove(p.path)
	p.file.Close()
}

// Peers returns the states of the other running processes of the proxy, and removes the files of those that have ended.
func (p *Presence) Peers() []ProcessState {
	var states []ProcessState
	paths, _ := filepath.Glob(p.folder.prefix + "process-*") // fails only for a malformed pattern
	for _, path := range paths {
		if path == p.path {
			continue
		}
		if state, ok := readPeer(path); ok {
			states = append(states, state)
		}
	}
	return states
}

// readPeer returns the state in a presence file. It returns false if the file cannot be read or its process has ended.
// In the latter case it removes the file.
func readPeer(path string) (state ProcessState, ok bool) {
	file, err := os.Open(path)
	if err != nil {
		return ProcessState{}, false // its process has just removed it
	}
	defer file.Close()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) { // its process has the lock, and so is running
		var b [stateBytes]byte
		n, _ := file.ReadAt(b[:], 0) // an error shows in n: the state is then incomplete
		return decodeProcessState(b), n == stateBytes
	}
	if err == nil {
		os.Remove(path)
	}
	return ProcessState{}, false
}
