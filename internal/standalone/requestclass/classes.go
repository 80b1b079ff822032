// Package requestclass numbers the classes of requests, through changes of the settings. The decision module and the door know a
// class by its number, so a number must mean the same class for as long as a request of it is under way. It has no I/O,
// clock or lock: its owner serialises the calls.
package requestclass

import (
	"fmt"

	"pumiceline/internal/standalone/settings"
)

// Most is how many numbers there are.
const Most = 256

// Book knows the classes by name and number, and how many requests of each are under way.
type Book struct {
	slots   []slot
	present map[string]int
}

type slot struct {
	class settings.Class
	open  int
}

// Take begins a request of a class, by the class's name. ok is false if the settings have no such class now.
func (b *Book) Take(name string) (number uint8, class settings.Class, ok bool) {
	n, ok := b.present[name]
	if !ok {
		return 0, settings.Class{}, false
	}
	b.slots[n].open++
	return uint8(n), b.slots[n].class, true
}

// Leave ends a request that Take began.
func (b *Book) Leave(number uint8) { b.slots[number].open-- }

// Numbers is how many numbers have been given out, Most at the most.
func (b *Book) Numbers() int { return len(b.slots) }

// Plan places the classes of new settings: a name keeps its number, a new one gets the first number that no class of the new
// settings and no request under way needs, or the next. Numbers that nobody needs keep their old class. The result, by number,
// is for Change; the book stays as it is.
func (b *Book) Plan(next []settings.Class) ([]settings.Class, error) {
	plan, used := make([]settings.Class, len(b.slots)), make([]bool, len(b.slots))
	for n := range b.slots {
		plan[n], used[n] = b.slots[n].class, b.slots[n].open > 0
	}
	number := map[string]int{}
	for n := range plan { // where two have a name, only one can be under way without being present: the present one counts
		if at, ok := b.present[plan[n].Name]; ok && at != n {
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
			if free == Most {
				return nil, fmt.Errorf("classes: more than %d, those with requests under way included", Most)
			}
			plan, used = append(plan, c), append(used, true)
			continue
		}
		plan[free], used[free] = c, true
	}
	return plan, nil
}

// Change takes over a plan that Plan made since the last Change, for the classes of next.
func (b *Book) Change(plan, next []settings.Class) {
	for n, c := range plan {
		if n == len(b.slots) {
			b.slots = append(b.slots, slot{})
		}
		b.slots[n].class = c
	}
	b.present = map[string]int{}
	for _, c := range next {
		for n := range plan {
			if plan[n].Name == c.Name {
				b.present[c.Name] = n
			}
		}
	}
}
