package requestclass

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"pumiceline/internal/standalone/settings"
)

// newClasses returns classes with the given names.
func newClasses(names ...string) (list []settings.Class) {
	for _, n := range names {
		list = append(list, settings.Class{Name: n})
	}
	return list
}

// applySettings plans and applies the classes of new settings.
func applySettings(t interface {
	Helper()
	Fatal(...any)
}, table *Table, list []settings.Class) {
	t.Helper()
	plan, err := table.Plan(list)
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(plan, list)
}

// A removed class with a request in flight keeps its number, and has the same number when it is added again with other
// semantics. A number that is no longer needed is assigned again.
func TestTable_KeepsNumbersOfRequestsInFlight(t *testing.T) {
	var table Table
	applySettings(t, &table, newClasses("a", "b"))
	n, _, _ := table.Acquire("b")
	applySettings(t, &table, newClasses("a", "c"))
	if _, _, ok := table.Acquire("b"); ok {
		t.Error("a removed class was acquired")
	}
	if c, _, _ := table.Acquire("c"); c == n {
		t.Error("the number of a request in flight was assigned again")
	}
	next := append(newClasses("c"), settings.Class{Name: "b", Semantics: "side_effect"})
	applySettings(t, &table, next)
	if m, class, ok := table.Acquire("b"); !ok || m != n || class.Semantics != "side_effect" {
		t.Errorf("class b was added again as number %d, class %+v, ok %v", m, class, ok)
	}
	table.Release(n)
	table.Release(n)
	applySettings(t, &table, newClasses("c", "d", "e"))
	d, _, _ := table.Acquire("d")
	e, _, _ := table.Acquire("e")
	if d > 1 || e > 1 || d == e || len(table.slots) != 3 {
		t.Errorf("free numbers were not assigned again: d %d, e %d of %d", d, e, len(table.slots))
	}
}

// For any sequence of reloads and requests, no number has two classes while a request of one of them is in flight, and
// the table has no more numbers than there are names.
func TestTable_NumbersAreUnambiguous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		inFlight := map[uint8][]string{}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				applySettings(t, &table, newClasses(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, "classes")...))
			case 1:
				name := rapid.SampledFrom(names).Draw(t, "name")
				if n, class, ok := table.Acquire(name); ok {
					for _, other := range inFlight[n] {
						if other != name {
							t.Fatalf("number %d is used for both %s and %s", n, other, name)
						}
					}
					if class.Name != name {
						t.Fatalf("%s was acquired as %s", name, class.Name)
					}
					inFlight[n] = append(inFlight[n], name)
				}
			default:
				for n, list := range inFlight {
					if len(list) > 0 {
						inFlight[n] = list[1:]
						table.Release(n)
						break
					}
				}
			}
			if len(table.slots) > len(names) {
				t.Fatalf("%d numbers for %d names", len(table.slots), len(names))
			}
		}
	})
}

func TestTable_RefusesTooManyClasses(t *testing.T) {
	var many []settings.Class
	for i := range MaxClasses + 1 {
		many = append(many, newClasses(string(rune(1000+i)))...)
	}
	var table Table
	if _, err := table.Plan(many); !errors.Is(err, ErrTooManyClasses) {
		t.Errorf("error %v", err)
	}
	applySettings(t, &table, many[:MaxClasses])
}
