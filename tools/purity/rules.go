package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Level says which imports and calls a package must not have.
type Level string

const (
	// NoClock forbids the network, files and system calls, and reading the clock or waiting. Times are values that the
	// caller passes in.
	NoClock Level = "no-clock"
	// NoTime is NoClock and also forbids that the package, or a package of this module that it depends on, imports
	// time, net, os or syscall. Only package duration may import time, to parse texts such as "250ms".
	NoTime Level = "no-time"
)

// Rule is one line of the list: a folder, its level, and the files to which the level does not apply.
type Rule struct {
	Folder string
	Level  Level
	Except map[string]bool // base names
}

// readRules reads a list of rules: on each line a folder, a level and, behind "except", names of files. Lines that
// begin with # are comments.
func readRules(list io.Reader) ([]Rule, error) {
	var rules []Rule
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		rule, err := parseRule(words)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		rules = append(rules, rule)
	}
	return rules, lines.Err()
}

func parseRule(words []string) (Rule, error) {
	if len(words) < 2 {
		return Rule{}, fmt.Errorf("want a folder and a level, have %q", words)
	}
	rule := Rule{Folder: words[0], Level: Level(words[1]), Except: map[string]bool{}}
	if rule.Level != NoClock && rule.Level != NoTime {
		return Rule{}, fmt.Errorf("level is %q, want %s or %s", rule.Level, NoClock, NoTime)
	}
	if len(words) == 2 {
		return rule, nil
	}
	if words[2] != "except" || len(words) == 3 {
		return Rule{}, fmt.Errorf("want \"except\" and names of files behind the level, have %q", words[2:])
	}
	for _, name := range words[3:] {
		rule.Except[name] = true
	}
	return rule, nil
}
