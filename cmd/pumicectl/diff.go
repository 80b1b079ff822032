package main

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"pumiceline/internal/docreader"
	"pumiceline/internal/strictjson"
)

// comparedLists are the lists of a configuration whose items have names.
var comparedLists = []string{"routes", "services"}

// diff returns a line for each item that was added (+), removed (-) or changed (~) between two configurations.
func diff(current, target []byte) ([]string, error) {
	var lines []string
	for _, list := range comparedLists {
		before, err := itemsByName(current, list)
		if err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
		after, err := itemsByName(target, list)
		if err != nil {
			return nil, errors.Wrap(err, "the file")
		}
		lines = append(lines, diffItems(list, before, after)...)
	}
	slices.Sort(lines)
	return lines, nil
}

func diffItems(list string, before, after map[string]string) []string {
	var lines []string
	for name, item := range after {
		old, ok := before[name]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s", list, name))
		case old != item:
			lines = append(lines, fmt.Sprintf("~ %s %s", list, name))
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			lines = append(lines, fmt.Sprintf("- %s %s", list, name))
		}
	}
	return lines
}

// itemsByName returns the items of a list by name, each encoded so that equal items give equal strings.
func itemsByName(document []byte, list string) (map[string]string, error) {
	members, err := strictjson.ReadObject(document)
	if err != nil {
		return nil, err
	}
	findings := &docreader.Findings{}
	items := docreader.Root(members, findings).Field(list).Items()
	byName := map[string]string{}
	for _, item := range items {
		members, _ := item.Members()
		encoded, err := json.Marshal(members) // it sorts the keys of a map
		if err != nil {
			return nil, err
		}
		byName[item.Field("name").RequiredText()] = string(encoded)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return byName, nil
}
