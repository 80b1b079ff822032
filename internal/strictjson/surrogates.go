package strictjson

import (
	"strconv"
	"unicode/utf16"
)

// escapeDigits is the number of hexadecimal digits of an escape such as \u00e9.
const escapeDigits = 4

// hasUnpairedSurrogate reports whether an escape of a text stands for half of a surrogate pair without the other half.
// Such a character cannot be held by a UTF-8 string: decoders put U+FFFD in its place, so that two names become one.
func hasUnpairedSurrogate(text []byte) bool {
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		i++ // the character behind the backslash, which may be another backslash
		first, isUnicode := escapedRune(text, i)
		if !isUnicode || !utf16.IsSurrogate(first) {
			continue
		}
		i += escapeDigits
		if i+1 >= len(text) || text[i+1] != '\\' {
			return true
		}
		second, _ := escapedRune(text, i+2)
		if utf16.DecodeRune(first, second) == '\uFFFD' {
			return true
		}
		i += 2 + escapeDigits
	}
	return false
}

// escapedRune returns the value of an escape whose letter u stands at index i.
func escapedRune(text []byte, i int) (rune, bool) {
	if i+escapeDigits >= len(text) || text[i] != 'u' {
		return 0, false
	}
	value, err := strconv.ParseUint(string(text[i+1:i+1+escapeDigits]), 16, 16)
	return rune(value), err == nil
}
