package configuration

import (
	"crypto/sha256"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// keptResults is of how many requests a Validator keeps what it has read.
const keptResults = 8

// Validator validates changes of the configuration. A request without a response is submitted again and again, so it
// keeps the results of the newest requests: the copies of a large one would keep the replica from its other work. One
// goroutine may use it.
type Validator struct{ results []readResult }

// readResult is what was read of a request.
type readResult struct {
	hash    [sha256.Size]byte // of all that the result depends on
	version Version
	text    []byte // the canonical text of the configuration that the request makes; kept of the newest result only
	err     error  // why the request is invalid
}

// NewValidator returns a validator that has read no request.
func NewValidator() *Validator { return &Validator{} }

// readPut reads the configuration of a PUT.
func (v *Validator) readPut(body []byte) *readResult {
	return v.read(hashOf(http.MethodPut, nil, body), func() (*Document, error) { return NewDocument(body) })
}

// readPatch reads the configuration that a PATCH makes of the one in force.
func (v *Validator) readPatch(inForce, body []byte) *readResult {
	return v.read(hashOf(http.MethodPatch, inForce, body), func() (*Document, error) {
		patch, err := readPatch(body)
		if err != nil {
			return nil, err
		}
		document, err := StoredDocument(inForce)
		if err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
		return document.patched(patch)
	})
}

// read returns the kept result of a hash, or else that of a read.
func (v *Validator) read(hash [sha256.Size]byte, read func() (*Document, error)) *readResult {
	known := slices.IndexFunc(v.results, func(r readResult) bool { return r.hash == hash })
	if known >= 0 && (v.results[known].err != nil || v.results[known].text != nil) {
		return &v.results[known]
	}
	if known >= 0 {
		v.results = slices.Delete(v.results, known, known+1)
	}
	if len(v.results) == keptResults {
		v.results = slices.Delete(v.results, 0, 1)
	}
	for i := range v.results {
		v.results[i].text = nil
	}
	v.results = append(v.results, newReadResult(hash, read))
	return &v.results[len(v.results)-1]
}

func newReadResult(hash [sha256.Size]byte, read func() (*Document, error)) readResult {
	result := readResult{hash: hash}
	document, err := read()
	if err == nil {
		result.version = document.config.Version
		result.text, err = document.Text()
	}
	result.err = err
	return result
}

// hashOf identifies a request together with the configuration that it changes.
func hashOf(method string, inForce, body []byte) [sha256.Size]byte {
	base := sha256.Sum256(inForce)
	hash := sha256.New()
	hash.Write([]byte(method))
	hash.Write(base[:])
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}
