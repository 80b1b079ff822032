package requestclass

import (
	"testing"

	"pgregory.net/rapid"

	"pumiceline/internal/standalone/settings"
)

func named(names ...string) (list []settings.Class) {
	for _, n := range names {
		list = append(list, settings.Class{Name: n})
	}
	return list
}

func change(t interface{ Fatal(...any) }, b *Table, list []settings.Class) {
	plan, err := b.Plan(list)
	if err != nil {
		t.Fatal(err)
	}
	b.Apply(plan, list)
}

// A class that vanishes with a request under way keeps its number, and the same when it comes back with another effect; one
// that nobody needs gives its number away.
func TestNumbersOutliveTheirClasses(t *testing.T) {
	var b Table
	change(t, &b, named("a", "b"))
	n, _, _ := b.Acquire("b")
	change(t, &b, named("a", "c"))
	if _, _, ok := b.Acquire("b"); ok {
		t.Error("a class that is gone is taken")
	}
	if c, _, _ := b.Acquire("c"); c == n {
		t.Error("the number of a request under way was given out")
	}
	back := append(named("c"), settings.Class{Name: "b", Semantics: "side_effect"})
	change(t, &b, back)
	if m, class, ok := b.Acquire("b"); !ok || m != n || class.Semantics != "side_effect" {
		t.Errorf("came back as %d %+v %v", m, class, ok)
	}
	b.Release(n)
	b.Release(n)
	change(t, &b, named("c", "d", "e"))
	d, _, _ := b.Acquire("d")
	e, _, _ := b.Acquire("e")
	if d > 1 || e > 1 || d == e || len(b.slots) != 3 {
		t.Errorf("free numbers were not given out again: d %d, e %d of %d", d, e, len(b.slots))
	}
}

// Whatever comes and goes: no number has two classes while a request of one is open, and the numbers stay few.
func TestAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Table
		open := map[uint8][]string{}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				change(t, &b, named(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, "classes")...))
			case 1:
				name := rapid.SampledFrom(names).Draw(t, "name")
				if n, class, ok := b.Acquire(name); ok {
					for _, other := range open[n] {
						if other != name {
							t.Fatalf("%d is %s's and %s's", n, other, name)
						}
					}
					if class.Name != name {
						t.Fatalf("%s came out as %s", name, class.Name)
					}
					open[n] = append(open[n], name)
				}
			default:
				for n, list := range open {
					if len(list) > 0 {
						open[n] = list[1:]
						b.Release(n)
						break
					}
				}
			}
			if len(b.slots) > len(names) {
				t.Fatalf("%d numbers for %d names", len(b.slots), len(names))
			}
		}
	})
}

func TestNumbersRunOut(t *testing.T) {
	var many []settings.Class
	for i := range MaxClasses + 1 {
		many = append(many, named(string(rune(1000+i)))...)
	}
	var b Table
	if _, err := b.Plan(many); err == nil {
		t.Error("no error")
	}
	change(t, &b, many[:MaxClasses])
}
