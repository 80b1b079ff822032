package configuration

import (
	"crypto/sha256"
	"slices"
)

// keptDocuments is of how many documents a Validator keeps what it has read.
const keptDocuments = 8

// Validator validates changes of the configuration. A request without a response is submitted again and again, so it
// keeps the results of the newest documents: the copies of a large one would keep the replica from its other work. One
// goroutine may use it.
type Validator struct{ documents []readDocument }

// readDocument is what was read of a document.
type readDocument struct {
	hash    [sha256.Size]byte
	version Version
	err     error // of ParseNew
}

// NewValidator returns a validator that has read no document.
func NewValidator() *Validator { return &Validator{} }

// readVersion returns the version of a document, or the error of ParseNew.
func (v *Validator) readVersion(document []byte) (Version, error) {
	hash := sha256.Sum256(document)
	known := slices.IndexFunc(v.documents, func(read readDocument) bool { return read.hash == hash })
	if known >= 0 {
		return v.documents[known].version, v.documents[known].err
	}
	read := readDocument{hash: hash}
	config, err := ParseNew(document)
	if err == nil {
		read.version = config.Version
	}
	read.err = err
	if len(v.documents) == keptDocuments {
		v.documents = slices.Delete(v.documents, 0, 1)
	}
	v.documents = append(v.documents, read)
	return read.version, read.err
}
