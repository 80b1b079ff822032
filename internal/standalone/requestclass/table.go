// Package requestclass numbers the classes of requests across reloads of the settings. Policy and admission control
// identify a class by its number, so a number must mean the same class for as long as a request of that class is in
// flight. The package has no I/O, clock or lock: the owner of a Table serializes the calls.
package requestclass

import (
	"errors"
	"fmt"

	"pumiceline/internal/standalone/settings"
)

// MaxClasses is the maximum number of class numbers.
const MaxClasses = 256

// ErrTooManyClasses is returned by Plan for settings that need more than MaxClasses numbers.
var ErrTooManyClasses = errors.New("too many classes, those with requests in flight included")

// Table maps classes to numbers and counts the requests in flight of each. The zero value has no classes.
type Table struct {
	slots   []slot         // by number
	numbers map[string]int // numbers of the classes in the settings, by name
}

// slot is the state of one class number.
type slot struct {
	class    settings.Class
	inFlight int // requests of the class
}

// Acquire starts a request of the class with this name. ok is false if the current settings have no such class.
func (t *Table) Acquire(name string) (number uint8, class settings.Class, ok bool) {
	n, ok := t.numbers[name]
	if !ok {
		return 0, settings.Class{}, false
	}
	t.slots[n].inFlight++
	return uint8(n), t.slots[n].class, true
}

// Release ends a request that Acquire started.
func (t *Table) Release(number uint8) { t.slots[number].inFlight-- }

// Len returns how many numbers have been assigned, at most MaxClasses.
func (t *Table) Len() int { return len(t.slots) }

// Plan assigns numbers to the classes of new settings. A name keeps its number; a new name gets the lowest number that
// neither a class of the new settings nor a request in flight needs. Numbers that are no longer needed keep their old
// class. Plan returns the classes by number, for Apply, and does not change the table.
func (t *Table) Plan(next []settings.Class) ([]settings.Class, error) {
	plan, needed := t.current()
	numbers := t.numbersByName()
	var added []settings.Class
	for _, class := range next {
		if n, ok := numbers[class.Name]; ok {
			plan[n], needed[n] = class, true
		} else {
			added = append(added, class)
		}
	}
	free := 0
	for _, class := range added {
		for free < len(plan) && needed[free] {
			free++
		}
		if free == MaxClasses {
			return nil, fmt.Errorf("%w: more than %d", ErrTooManyClasses, MaxClasses)
		}
		if free == len(plan) {
			plan, needed = append(plan, class), append(needed, true)
			continue
		}
		plan[free], needed[free] = class, true
	}
	return plan, nil
}

// current returns the class of each number and whether a request in flight needs it.
func (t *Table) current() (classes []settings.Class, needed []bool) {
	classes, needed = make([]settings.Class, len(t.slots)), make([]bool, len(t.slots))
	for n, s := range t.slots {
		classes[n], needed[n] = s.class, s.inFlight > 0
	}
	return classes, needed
}

// numbersByName returns the number of each name. If two numbers have the same name, the result has the number of the
// class in the settings; the other number belongs to requests in flight from before the class was removed and added
// again.
func (t *Table) numbersByName() map[string]int {
	numbers := map[string]int{}
	for n, s := range t.slots {
		if current, ok := t.numbers[s.class.Name]; !ok || current == n {
			numbers[s.class.Name] = n
		}
	}
	return numbers
}

// Apply applies a plan that Plan made for next since the last Apply.
func (t *Table) Apply(plan, next []settings.Class) {
	for n, class := range plan {
		if n == len(t.slots) {
			t.slots = append(t.slots, slot{})
		}
		t.slots[n].class = class
	}
	t.numbers = map[string]int{}
	for _, class := range next {
		for n := range plan {
			if plan[n].Name == class.Name {
				t.numbers[class.Name] = n
			}
		}
	}
}
