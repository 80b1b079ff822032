package main

import (
	"io"
	"strings"
	"testing"
)

func TestJudge(t *testing.T) {
	const good = "?   \tp/cmd\t[no test files]\nok  \tp/a\t0.1s\n"
	const one = good + "--- FAIL: TestX (0.01s)\n    --- FAIL: TestX/sub (0.00s)\n        x_test.go:1: no\nFAIL\nFAIL\tp/b\t0.2s\nFAIL\n"
	const list = "# comment\n\np/b.TestX: it jams (issue 3)\n"
	for name, c := range map[string]struct{ list, tests, want string }{
		"all pass":            {"", good, ""},
		"one fails":           {"", one, "p/b.TestX failed"},
		"known":               {list, one, ""},
		"known, and passes":   {list, good, "did not"},
		"unknown name":        {list + "p/b.TestY: it jams (issue 3)\n", one, "p/b.TestY"},
		"another package's":   {strings.Replace(list, "p/b", "p/a", 1), one, "p/b.TestX failed"},
		"another fails too":   {list, strings.Replace(one, "--- FAIL: TestX (", "--- FAIL: TestZ (0s)\n--- FAIL: TestX (", 1), "p/b.TestZ failed"},
		"a fourth":            {strings.Repeat(list, 4), one, "4 tests"},
		"no cause":            {"p/b.TestX: (issue 3)\n", one, "form"},
		"no issue":            {"p/b.TestX: it jams\n", one, "form"},
		"not built":           {list, one + "FAIL\tp/c [build failed]\n", "p/c failed"},
		"panics":              {list, strings.Replace(one, "FAIL\nFAIL\tp/b", "panic: no\nexit status 2\nFAIL\tp/b", 1), "p/b failed"},
		"its time was up":     {list, "panic: test timed out after 1s\nFAIL\tp/b\t1s\n", "p/b failed"},
		"breaks off":          {list, "--- FAIL: TestX (0.01s)\n", "breaks off"},
		"nothing was run":     {"", "", "no test"},
		"an example's output": {"", good + "--- FAIL: ExampleX (0.00s)\ngot:\n1\nFAIL\nFAIL\tp/b\t0.2s\n", "p/b.ExampleX failed"},
	} {
		err := judge(c.list, strings.NewReader(c.tests), io.Discard)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
