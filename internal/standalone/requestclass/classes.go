// Package requestclass numbers the classes of requests, through changes of the settings. The decision module and the door know a
// class by its number, so a number must mean the same class for as long as a request of it is under way. It has no I/O,
// clock or lock: its owner serialises the calls.
package requestclass

import (
	"fmt"

	"pumiceline/internal/standalone/settings"
)

// MaxClasses is how many numbers there are.
const MaxClasses = 256

// Table knows the classes by name and number, and how many requests of each are under way.
type Table struct {
	slots   []slot
	numbers map[string]int
}

type slot struct {
	class    settings.Class
	inFlight int
}

// Acquire begins a request of a class, by the class's name. ok is false if the settings have no such class now.
func (b *Table) Acquire(name string) (number uint8, class settings.Class, ok bool) {
	n, ok := b.numbers[name]
	if !ok {
		return 0, settings.Class{}, false
	}
	b.slots[n].inFlight++
	return uint8(n), b.slots[n].class, true
}

// Release ends a request that Take began.
func (b *Table) Release(number uint8) { b.slots[number].inFlight-- }

// Len is how many numbers have been given out, Most at the most.
func (b *Table) Len() int { return len(b.slots) }

// Plan places the classes of new settings: a name keeps its number, a new one gets the first number that no class of the new
// settings and no request under way needs, or the next. Numbers that nobody needs keep their old class. The result, by number,
// is for Change; the book stays as it is.
func (b *Table) Plan(next []settings.Class) ([]settings.Class, error) {
	plan, used := make([]settings.Class, len(b.slots)), make([]bool, len(b.slots))
	for n := range b.slots {
		plan[n], used[n] = b.slots[n].class, b.slots[n].inFlight > 0
	}
	number := map[string]int{}
	for n := range plan { // where two have a name, only one can be under way without being present: the present one counts
		if at, ok := b.numbers[plan[n].Name]; ok && at != n {
			continue
		}
		number[plan[n].Name] = n
	}
	var come []settings.Class
	for _, c := range next {
		if n, ok := number[c.Name]; ok {
			plan[n], used[n] = c, true
		} else {
			come = append(come, c)
		}
	}
	free := 0
	for _, c := range come {
		for free < len(plan) && used[free] {
			free++
		}
		if free == len(plan) {
			if free == MaxClasses {
				return nil, fmt.Errorf("classes: more than %d, those with requests under way included", MaxClasses)
			}
			plan, used = append(plan, c), append(used, true)
			continue
		}
		plan[free], used[free] = c, true
	}
	return plan, nil
}

// Apply takes over a plan that Plan made since the last Change, for the classes of next.
func (b *Table) Apply(plan, next []settings.Class) {
	for n, c := range plan {
		if n == len(b.slots) {
			b.slots = append(b.slots, slot{})
		}
		b.slots[n].class = c
	}
	b.numbers = map[string]int{}
	for _, c := range next {
		for n := range plan {
			if plan[n].Name == c.Name {
				b.numbers[c.Name] = n
			}
		}
	}
}
