// Package delta makes and applies differences between two documents that mostly hold the same items, such as two
// versions of a configuration. A difference is a row of steps: copy a part of the old document, then insert text.
package delta

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// leastCopy is the shortest part that is worth a copy step.
const leastCopy = 16

// ErrMalformed says that a difference cannot be read, or does not fit the document that it is applied to.
var ErrMalformed = errors.New("a difference that does not fit")

// Make returns the difference that turns old into new.
func Make(old, new []byte) []byte {
	index := indexItems(old)
	var steps, inserted []byte
	from, length := 0, 0 // the copy that stands before inserted
	flush := func() {
		steps = binary.AppendUvarint(steps, uint64(from))
		steps = binary.AppendUvarint(steps, uint64(length))
		steps = binary.AppendUvarint(steps, uint64(len(inserted)))
		steps = append(steps, inserted...)
		inserted = inserted[:0]
	}
	length = commonPrefix(old, new)
	for at := length; at < len(new); {
		item := new[at : at+itemEnd(new[at:])]
		place, common := bestPlace(index[string(item)], old, new[at:], from+length)
		if common < leastCopy {
			inserted = append(inserted, item...)
			at += len(item)
			continue
		}
		flush()
		from, length = place, common
		at += length
	}
	flush()
	return steps
}

// triedPlaces bounds how many places of an item are compared.
const triedPlaces = 8

// bestPlace returns the place in old from which most of text can be copied, of those that come next after the end of
// the last copy.
func bestPlace(places []int, old, text []byte, end int) (place, common int) {
	next, _ := slices.BinarySearch(places, end)
	for i := range min(triedPlaces, len(places)) {
		candidate := places[(next+i)%len(places)]
		if n := commonPrefix(old[candidate:], text); n > common {
			place, common = candidate, n
		}
	}
	return place, common
}

// indexItems returns the places of the items of a document, in rising order.
func indexItems(document []byte) map[string][]int {
	index := map[string][]int{}
	for at := 0; at < len(document); {
		end := at + itemEnd(document[at:])
		item := string(document[at:end])
		index[item] = append(index[item], at)
		at = end
	}
	return index
}

// itemEnd returns the length of the first item of text: up to a bracket or comma that ends one in JSON.
func itemEnd(text []byte) int {
	if at := bytes.IndexAny(text, "},]"); at >= 0 {
		return at + 1
	}
	return len(text)
}

func commonPrefix(a, b []byte) int {
	most := min(len(a), len(b))
	for i := range most {
		if a[i] != b[i] {
			return i
		}
	}
	return most
}

// Apply returns the document that a difference makes of old; most bounds its size in bytes.
func Apply(old, difference []byte, most int) ([]byte, error) {
	var out []byte
	for len(difference) > 0 {
		var step [3]uint64
		for i := range step {
			value, n := binary.Uvarint(difference)
			if n <= 0 {
				return nil, ErrMalformed
			}
			step[i], difference = value, difference[n:]
		}
		from, length, inserted := step[0], step[1], step[2]
		if from > uint64(len(old)) || length > uint64(len(old))-from || inserted > uint64(len(difference)) {
			return nil, ErrMalformed
		}
		if uint64(len(out))+length+inserted > uint64(most) {
			return nil, ErrMalformed
		}
		out = append(out, old[from:from+length]...)
		out = append(out, difference[:inserted]...)
		difference = difference[inserted:]
	}
	return out, nil
}
