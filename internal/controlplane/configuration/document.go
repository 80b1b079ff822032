package configuration

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"pumiceline/internal/docreader"
	"pumiceline/internal/strictjson"
)

// Document is a configuration whose text was read once. What is stored, applied, shown and changed later comes from this
// value or from its canonical text (Text), never from another reading of the operator's text. It is immutable.
type Document struct {
	members map[string]any // of the JSON object
	config  *Config
}

// NewDocument reads a text that is to come into force. The error names every fault of the text with its path. A text is
// refused if readers of JSON could disagree about it, if it says what the configuration could not hold unchanged, or if
// the configuration is not valid.
func NewDocument(text []byte) (*Document, error) {
	members, err := strictjson.ReadObject(text)
	if err != nil {
		return nil, err
	}
	findings := &docreader.Findings{}
	checkObjects(members, "", findings)
	return acceptDocument(members, findings)
}

// acceptDocument returns the document of a JSON object that is to come into force.
func acceptDocument(members map[string]any, findings *docreader.Findings) (*Document, error) {
	root := docreader.Root(members, findings)
	config := readConfig(root, findings)
	checkAdapterCount(config, root.Field("services"))
	return newDocument(members, config, findings)
}

// StoredDocument reads a text that is in force. An earlier version may have put a text in force that NewDocument refuses.
// It is read as that version applied it: text after the object is passed over, the last of several equal keys counts, and
// a number out of its bounds is the nearest bound. No text is a document of version 0 without routes.
func StoredDocument(text []byte) (*Document, error) {
	if len(text) == 0 {
		return &Document{members: map[string]any{}, config: &Config{}}, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var members map[string]any
	if err := decoder.Decode(&members); err != nil {
		return nil, errors.Wrap(err, "not a whole JSON object")
	}
	if decoder.More() {
		return nil, errors.New("more than one JSON value")
	}
	repairObjects(members)
	findings := &docreader.Findings{}
	return newDocument(members, readConfig(docreader.Root(members, findings), findings), findings)
}

// newDocument returns the document of a JSON object and the configuration read from it, or the faults that were found.
func newDocument(members map[string]any, config *Config, findings *docreader.Findings) (*Document, error) {
	if err := findings.Err(); err != nil {
		return nil, err
	}
	config.index()
	members["version"] = json.Number(strconv.FormatUint(uint64(config.Version), 10))
	return &Document{members: members, config: config}, nil
}

// Config returns the configuration in typed form.
func (d *Document) Config() *Config { return d.config }

// Text returns the canonical text: one line with the keys of each object in order and numbers as the operator wrote
// them. Two documents have the same text if and only if they have the same value.
func (d *Document) Text() ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(d.members); err != nil {
		return nil, errors.Wrap(err, "encode a configuration")
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), nil
}

// CanonicalText returns the canonical text of a document that is in force.
func CanonicalText(stored []byte) ([]byte, error) {
	document, err := StoredDocument(stored)
	if err != nil {
		return nil, err
	}
	return document.Text()
}
