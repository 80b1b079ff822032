package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the configuration again while the proxy runs. Unlike Load, it prefers the discovery address of the file
// to that of ROUTER_DISCOVERY, which was set at the start and cannot have changed since.
//
// The file must have all keys that the current one has, except optionalKeys: a key may be missing because the file was
// truncated or is still being written, and its default must not replace the current value then. The number of attempts
// must not be negative, and must not become 0 if it is positive now.
func Reload(path string, env func(string) string, current *Config) (*Config, error) {
	next, err := loadForReload(path, env)
	if err != nil {
		return nil, err
	}
	if key := missingKey(current.document, next.document, ""); key != "" {
		return nil, &KeyError{Key: key, Err: errMissing}
	}
	attempts := next.Settings.Limits.MaxAttempts
	if attempts < 0 || attempts == 0 && current.Settings.Limits.MaxAttempts > 0 {
		return nil, keyErrorf("settings.Limits.TryLimit", "%d is no number of attempts", attempts)
	}
	return next, nil
}

// loadForReload is Load, except that ROUTER_DISCOVERY does not override the file's discovery address.
func loadForReload(path string, env func(string) string) (*Config, error) {
	text, err := readFile(path, env)
	if err != nil {
		return nil, err
	}
	f, err := parseFile(text)
	if err != nil {
		return nil, err
	}
	discovery := f.Discovery
	f.applyEnvironment(env)
	if discovery != "" {
		f.Discovery = discovery
	}
	return f.check(text, env)
}

// optionalKeys are the keys, at any depth, that the next file may lack although the current one has them.
var optionalKeys = map[string]bool{"seed": true, "known": true, "operator": true, "peers": true, "peers_all": true,
	"peer_listen": true, "AimStretch": true, "PassesDeadline": true, "WarmKeys": true}

// missingKey returns the path of a key that old has and next does not have, empty if there is none. Each element of a
// list in next must have the keys that all elements of old's list have. path is the path of old and next in the file.
func missingKey(old, next any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		return missingKeyOfObject(old, next, path)
	case []any:
		return missingKeyOfList(old, next, path)
	}
	return ""
}

// missingKeyOfObject is missingKey where old is an object.
func missingKeyOfObject(old map[string]any, next any, path string) string {
	object, ok := next.(map[string]any)
	if !ok {
		return path
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if optionalKeys[key] {
			continue
		}
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if object[key] == nil && old[key] != nil {
			return keyPath
		}
		if missing := missingKey(old[key], object[key], keyPath); missing != "" {
			return missing
		}
	}
	return ""
}

// missingKeyOfList is missingKey where old is a list.
func missingKeyOfList(old []any, next any, path string) string {
	list, ok := next.([]any)
	if !ok {
		return path
	}
	common := commonKeys(old)
	if common == nil {
		return ""
	}
	for i, element := range list {
		if missing := missingKey(common, element, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all objects of a list have, nil if the list is empty or has other
// elements.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for i, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(object)
			continue
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
