// Package delta encodes the difference between two documents that mostly hold the same items, such as two versions of
// a configuration in JSON. As in VCDIFF (RFC 3284), a delta is a sequence of instructions. Each instruction copies a
// range of the old document and then inserts text.
//
// Deltas are stored, and exchanged between different versions of the program, so the encoding must not change. Each
// instruction is three unsigned varints and a text: the offset and length of the range to copy, the length of the text
// to insert, and this text.
package delta

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

const (
	// minCopyBytes is the length of the shortest range that is copied. An instruction takes about as many bytes as a
	// shorter range, so copying it would not make the delta shorter.
	minCopyBytes = 16
	// maxCandidates bounds how many occurrences of an item are tried for the longest match.
	maxCandidates = 8
)

// ErrMalformed is returned by Apply for a delta that cannot be decoded or does not fit the old document.
var ErrMalformed = errors.New("malformed delta")

// instruction copies old[offset:offset+length] and then inserts text.
type instruction struct {
	offset, length int
	text           []byte
}

func (i *instruction) end() int { return i.offset + i.length }

func (i *instruction) appendTo(delta []byte) []byte {
	delta = binary.AppendUvarint(delta, uint64(i.offset))
	delta = binary.AppendUvarint(delta, uint64(i.length))
	delta = binary.AppendUvarint(delta, uint64(len(i.text)))
	return append(delta, i.text...)
}

// Make returns the delta that turns one document into another. It compares the documents item by item: each range to
// copy begins at the start of an item, except for the common prefix of the documents.
func Make(old, target []byte) []byte {
	index := indexItems(old)
	var delta []byte
	current := instruction{length: commonPrefix(old, target)}
	for position := current.length; position < len(target); {
		rest := target[position:]
		item := rest[:itemLength(rest)]
		offset, length := longestMatch(index[string(item)], old, rest, current.end())
		if length < minCopyBytes {
			current.text = append(current.text, item...)
			position += len(item)
			continue
		}
		delta = current.appendTo(delta)
		current = instruction{offset: offset, length: length}
		position += length
	}
	return current.appendTo(delta)
}

// longestMatch returns the candidate offset in old from which the longest prefix of text can be copied, and the
// length of that prefix. It tries at most maxCandidates, beginning with the first at or after the end of the last
// copy, because both documents mostly hold their items in the same order.
func longestMatch(candidates []int, old, text []byte, lastEnd int) (offset, length int) {
	next, _ := slices.BinarySearch(candidates, lastEnd)
	for i := range min(maxCandidates, len(candidates)) {
		candidate := candidates[(next+i)%len(candidates)]
		if n := commonPrefix(old[candidate:], text); n > length {
			offset, length = candidate, n
		}
	}
	return offset, length
}

// indexItems returns the offsets of each item of a document, in ascending order.
func indexItems(document []byte) map[string][]int {
	index := map[string][]int{}
	for offset := 0; offset < len(document); {
		end := offset + itemLength(document[offset:])
		item := string(document[offset:end])
		index[item] = append(index[item], offset)
		offset = end
	}
	return index
}

// itemLength returns the length of the first item of a text. An item ends with the first closing bracket or comma, or
// with the text. Items need not be JSON values: a comma within a string ends an item too.
func itemLength(text []byte) int {
	if end := bytes.IndexAny(text, "},]"); end >= 0 {
		return end + 1
	}
	return len(text)
}

func commonPrefix(a, b []byte) int {
	shorter := min(len(a), len(b))
	for i := range shorter {
		if a[i] != b[i] {
			return i
		}
	}
	return shorter
}

// Apply applies a delta to an old document and returns the new one. It returns ErrMalformed if the new document is
// longer than maxBytes, or if the delta cannot be decoded or refers to ranges that old does not have. A delta for
// another document can go undetected, so callers that need certainty must compare a digest of the result.
func Apply(old, delta []byte, maxBytes int) ([]byte, error) {
	var document []byte
	for len(delta) > 0 {
		var numbers [3]uint64
		for i := range numbers {
			value, n := binary.Uvarint(delta)
			if n <= 0 {
				return nil, ErrMalformed
			}
			numbers[i], delta = value, delta[n:]
		}
		offset, length, inserted := numbers[0], numbers[1], numbers[2]
		if offset > uint64(len(old)) || length > uint64(len(old))-offset || inserted > uint64(len(delta)) {
			return nil, ErrMalformed
		}
		if uint64(len(document))+length+inserted > uint64(maxBytes) {
			return nil, ErrMalformed
		}
		document = append(document, old[offset:offset+length]...)
		document = append(document, delta[:inserted]...)
		delta = delta[inserted:]
	}
	return document, nil
}
