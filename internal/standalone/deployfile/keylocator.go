package deployfile

import "pumiceline/internal/tomlfile"

// keyLocator creates errors that name the file, the key and the key's line in the file.
type keyLocator struct {
	path  string
	index *tomlfile.KeyIndex
}

func (k keyLocator) errorAt(key, reason string) error {
	return &tomlfile.Error{File: k.path, Line: k.index.Line(key), Key: key, Reason: reason}
}

// checkUnits returns an error if a duration is written as a number without a unit.
func (k keyLocator) checkUnits(isDuration func(key string) bool) error {
	for _, key := range k.index.BareNumbers {
		if isDuration(key) {
			return k.errorAt(key, "is a time and has no unit: write it as \"250ms\"")
		}
	}
	return nil
}
