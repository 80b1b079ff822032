package experiment

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pumiceline/internal/fleetsim/model"
)

// scenarioPrefix is the prefix of the keys that can be varied.
const scenarioPrefix = "world."

// Setting is a key of the scenario as written in files ("world.kinds.0.cores"), and its value as decoded from TOML or
// JSON.
type Setting struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

// String returns "key=value".
func (s Setting) String() string { return fmt.Sprintf("%s=%v", s.Key, s.Value) }

// ParseSetting parses an argument of the command line such as "world.servers=50". The value is TOML; text that is not
// valid TOML is taken as a string.
func ParseSetting(text string) (Setting, error) {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return Setting{}, fmt.Errorf("%q is not key=value", text)
	}
	var doc struct {
		V any `toml:"v"`
	}
	if err := toml.Unmarshal([]byte("v = "+value), &doc); err != nil {
		doc.V = value
	}
	return Setting{strings.TrimSpace(key), doc.V}, nil
}

// Apply sets the setting's key in a scenario to its value. Errors include the key.
func (s Setting) Apply(scenario *model.Scenario) error {
	path, ok := strings.CutPrefix(s.Key, scenarioPrefix)
	if !ok {
		return fmt.Errorf("%s: only keys of world can be varied", s.Key)
	}
	field, err := resolve(scenario, path)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Key, err)
	}
	return s.assign(field)
}

// resolve returns the scenario's field for a dotted key. Each part of the key is a TOML key, or an index in a list.
func resolve(scenario *model.Scenario, path string) (reflect.Value, error) {
	v := reflect.ValueOf(scenario).Elem()
	for _, part := range strings.Split(path, ".") {
		switch v.Kind() {
		case reflect.Struct:
			field := fieldByTag(v, part)
			if !field.IsValid() {
				return v, fmt.Errorf("there is no key %s", part)
			}
			v = field
		case reflect.Slice:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= v.Len() {
				return v, fmt.Errorf("%q is no place in a list of %d", part, v.Len())
			}
			v = v.Index(i)
		default:
			return v, fmt.Errorf("%s has no keys of its own", part)
		}
	}
	return v, nil
}

// fieldByTag returns the field of a struct with that TOML key, or the invalid Value if there is none.
func fieldByTag(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ","); tag == key {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

// assign sets a field to the setting's value. It converts an integer to a float, and a float
// with an integral value to an integer.
func (s Setting) assign(field reflect.Value) error {
	if list, ok := s.Value.([]any); ok && len(list) == 0 && field.Kind() == reflect.Slice { // world.trouble=[]: clears it
		field.SetZero()
		return nil
	}
	if span, ok := field.Addr().Interface().(*model.Span); ok {
		return s.assignSpan(span)
	}
	kind := field.Kind()
	switch x := s.Value.(type) {
	case int64:
		switch {
		case field.CanInt():
			field.SetInt(x)
			return nil
		case field.CanFloat():
			field.SetFloat(float64(x))
			return nil
		}
	case float64:
		switch {
		case field.CanFloat():
			field.SetFloat(x)
			return nil
		case field.CanInt() && x == float64(int64(x)): // JSON decodes all numbers as float64
			field.SetInt(int64(x))
			return nil
		}
	case bool:
		if kind == reflect.Bool {
			field.SetBool(x)
			return nil
		}
	case string:
		if kind == reflect.String {
			field.SetString(x)
			return nil
		}
	}
	return fmt.Errorf("%s: %v (%T) does not fit", s.Key, s.Value, s.Value)
}

func (s Setting) assignSpan(span *model.Span) error {
	text, ok := s.Value.(string)
	if !ok {
		return fmt.Errorf("%s: %v has no unit: write a time as \"250ms\"", s.Key, s.Value)
	}
	if err := span.UnmarshalText([]byte(text)); err != nil {
		return fmt.Errorf("%s: %w", s.Key, err)
	}
	return nil
}
