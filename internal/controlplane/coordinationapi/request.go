package coordinationapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
	"pumiceline/internal/strictjson"
)

// maxWatchWait is the maximum time that a watch waits for an event. Longer times are reduced to it.
const maxWatchWait = 30 * time.Second

// requestError is the error for an invalid request. No call was made.
type requestError struct {
	status int
	text   string
	allow  string // the Allow header; empty: none
}

func (e *requestError) Error() string { return e.text }

func invalid(format string, arguments ...any) error {
	return &requestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, arguments...)}
}

// parseName decodes the rest of a path after the prefix of its resource.
func parseName(escaped string) (string, error) {
	if strings.Contains(escaped, "/") {
		return "", invalid("the name must be one segment of the path; a slash in it is written as %%2F")
	}
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return "", invalid("the name: %s", err)
	}
	return name, checkName("the name", name)
}

func checkName(what, name string) error {
	switch {
	case name == "":
		return invalid("%s is empty", what)
	case len(name) > coordination.MaxNameBytes:
		return invalid("%s is longer than %d bytes", what, coordination.MaxNameBytes)
	case !utf8.ValidString(name):
		return invalid("%s is not UTF-8", what)
	case strings.ContainsFunc(name, unicode.IsControl):
		return invalid("%s has control characters", what)
	}
	return nil
}

func parseAcquire(name string, _ *http.Request, body []byte) (message.Call, error) {
	fields, err := parseFields(body)
	if err != nil {
		return message.Call{}, err
	}
	call := message.Call{Kind: message.CallAcquire, Lock: message.LockName(name)}
	if call.Owner, err = fields.owner(); err != nil {
		return message.Call{}, err
	}
	call.HoldMs, err = fields.holdMs()
	return call, err
}

func parseRenew(name string, _ *http.Request, body []byte) (message.Call, error) {
	fields, err := parseFields(body)
	if err != nil {
		return message.Call{}, err
	}
	call := message.Call{Kind: message.CallRenew, Lock: message.LockName(name)}
	if call.Owner, err = fields.owner(); err != nil {
		return message.Call{}, err
	}
	if call.Token, err = fields.token(); err != nil {
		return message.Call{}, err
	}
	call.HoldMs, err = fields.holdMs()
	return call, err
}

func parseRelease(name string, _ *http.Request, body []byte) (message.Call, error) {
	fields, err := parseFields(body)
	if err != nil {
		return message.Call{}, err
	}
	call := message.Call{Kind: message.CallRelease, Lock: message.LockName(name)}
	if call.Owner, err = fields.owner(); err != nil {
		return message.Call{}, err
	}
	call.Token, err = fields.token()
	return call, err
}

// parseNumber accepts an empty body or a JSON object, whose fields it ignores.
func parseNumber(name string, _ *http.Request, body []byte) (message.Call, error) {
	if len(body) > 0 {
		if _, err := parseFields(body); err != nil {
			return message.Call{}, err
		}
	}
	return message.Call{Kind: message.CallNumber, Key: message.KeyName(name)}, nil
}

func parsePut(name string, _ *http.Request, body []byte) (message.Call, error) {
	fields, err := parseFields(body)
	if err != nil {
		return message.Call{}, err
	}
	call := message.Call{Kind: message.CallPut, Key: message.KeyName(name)}
	if call.Value, err = fields.value(); err != nil {
		return message.Call{}, err
	}
	if !fields.has("ifRevision") {
		call.IfAny = true
		return call, nil
	}
	revision, err := fields.count("ifRevision")
	call.IfRevision = message.Revision(revision)
	return call, err
}

func parseGet(name string, _ *http.Request, _ []byte) (message.Call, error) {
	return message.Call{Kind: message.CallGet, Key: message.KeyName(name)}, nil
}

// parseWatch takes the group from the path and the other parameters from the query. A missing parameter is 0.
func parseWatch(name string, r *http.Request, _ []byte) (message.Call, error) {
	if strings.Index(name, ".") != len(name)-1 {
		return message.Call{}, invalid("a watch names a group of keys: all up to the first dot of their names, the dot included")
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return message.Call{}, invalid("the query: %s", err)
	}
	after, err := parseParameter(query, "after", 64)
	if err != nil {
		return message.Call{}, err
	}
	waitMs, err := parseParameter(query, "waitMs", 63)
	if err != nil {
		return message.Call{}, err
	}
	call := message.Call{Kind: message.CallWatch, Group: message.KeyGroup(name), After: message.Revision(after)}
	call.WaitMs = min(int64(waitMs), maxWatchWait.Milliseconds())
	return call, nil
}

func parseParameter(query url.Values, name string, bits int) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, invalid("%s must be a whole number that is not negative", name)
	}
	return number, nil
}

// fields are the fields of a JSON object, as package strictjson reads it. Fields that a call does not use are ignored.
type fields map[string]any

func parseFields(body []byte) (fields, error) {
	parsed, err := strictjson.ReadObject(body)
	if err != nil {
		return nil, invalid("the body must be a JSON object: %s", err)
	}
	return parsed, nil
}

// text returns a field that must be present and a string.
func (f fields) text(name string) (string, error) {
	if f[name] == nil {
		return "", invalid("%s is missing", name)
	}
	value, isText := f[name].(string)
	if !isText {
		return "", invalid("%s must be a string", name)
	}
	return value, nil
}

// has reports whether a field is present, null included.
func (f fields) has(name string) bool {
	_, ok := f[name]
	return ok
}

// count returns a field that must be present and a non-negative integer.
func (f fields) count(name string) (uint64, error) {
	if f[name] == nil {
		return 0, invalid("%s is missing", name)
	}
	number, _ := f[name].(json.Number)
	value, err := strconv.ParseUint(number.String(), 10, 64)
	if err != nil {
		return 0, invalid("%s must be a whole number that is not negative", name)
	}
	return value, nil
}

func (f fields) owner() (message.OwnerName, error) {
	owner, err := f.text("owner")
	if err != nil {
		return "", err
	}
	return message.OwnerName(owner), checkName("owner", owner)
}

func (f fields) token() (message.FencingToken, error) {
	token, err := f.count("fenceNo")
	return message.FencingToken(token), err
}

func (f fields) holdMs() (int64, error) {
	hold, err := f.count("holdMs")
	if err != nil {
		return 0, err
	}
	if hold == 0 || hold > uint64(coordination.MaxHold.Milliseconds()) {
		return 0, invalid("holdMs must be between 1 and %d", coordination.MaxHold.Milliseconds())
	}
	return int64(hold), nil
}

func (f fields) value() (string, error) {
	value, err := f.text("value")
	if err != nil {
		return "", err
	}
	if len(value) > coordination.MaxValueBytes {
		return "", invalid("value is longer than %d bytes", coordination.MaxValueBytes)
	}
	return value, nil
}
