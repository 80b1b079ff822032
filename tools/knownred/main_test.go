package main

import (
	"io"
	"strings"
	"testing"
)

func TestCheckFailures(t *testing.T) {
	const passed = "?   \tp/cmd\t[no test files]\nok  \tp/a\t0.1s\n"
	const oneFailed = passed + "--- FAIL: TestX (0.01s)\n    --- FAIL: TestX/sub (0.00s)\n        x_test.go:1: no\n" +
		"FAIL\nFAIL\tp/b\t0.2s\nFAIL\n"
	const list = "# comment\n\np/b.TestX: it jams (issue 3)\n"
	twoFailed := strings.Replace(oneFailed, "--- FAIL: TestX (", "--- FAIL: TestZ (0s)\n--- FAIL: TestX (", 1)
	panicked := strings.Replace(oneFailed, "FAIL\nFAIL\tp/b", "panic: no\nexit status 2\nFAIL\tp/b", 1)
	exampleFailed := passed + "--- FAIL: ExampleX (0.00s)\ngot:\n1\nFAIL\nFAIL\tp/b\t0.2s\n"
	const flaky = "p/b.TestX: it jams (issue 3; flaky: ctl soak --first-seed 7 --seeds 1)\n"
	for name, c := range map[string]struct{ list, tests, want string }{
		"all pass":            {"", passed, ""},
		"one fails":           {"", oneFailed, "p/b.TestX failed"},
		"known":               {list, oneFailed, ""},
		"known, and passes":   {list, passed, "did not"},
		"unknown name":        {list + "p/b.TestY: it jams (issue 3)\n", oneFailed, "p/b.TestY"},
		"another package's":   {strings.Replace(list, "p/b", "p/a", 1), oneFailed, "p/b.TestX failed"},
		"another fails too":   {list, twoFailed, "p/b.TestZ failed"},
		"a fourth":            {strings.Repeat(list, 4), oneFailed, "4 tests"},
		"no cause":            {"p/b.TestX: (issue 3)\n", oneFailed, "form"},
		"no issue":            {"p/b.TestX: it jams\n", oneFailed, "form"},
		"not built":           {list, oneFailed + "FAIL\tp/c [build failed]\n", "p/c failed"},
		"panics":              {list, panicked, "p/b failed"},
		"timed out":           {list, "panic: test timed out after 1s\nFAIL\tp/b\t1s\n", "p/b failed"},
		"breaks off":          {list, "--- FAIL: TestX (0.01s)\n", "breaks off"},
		"nothing was run":     {"", "", "no test"},
		"flaky, and fails":    {flaky, oneFailed, ""},
		"flaky, and passes":   {flaky, passed + "ok  \tp/b\t0.1s\n", ""},
		"flaky, not tested":   {flaky, passed, "not tested"},
		"flaky, no seed":      {"p/b.TestX: it jams (issue 3; flaky: ctl soak)\n", oneFailed, "form"},
		"flaky, no number":    {strings.Replace(flaky, "7", "x", 1), oneFailed, "form"},
		"flaky, no command":   {"p/b.TestX: it jams (issue 3; flaky: --seed 7)\n", oneFailed, "form"},
		"flaky, no issue":     {strings.Replace(flaky, "issue 3; ", "", 1), oneFailed, "form"},
		"flaky, another":      {flaky, twoFailed, "p/b.TestZ failed"},
		"flaky, panics":       {flaky, panicked, "p/b failed"},
		"four flaky":          {strings.Repeat(flaky, 4), oneFailed, "4 tests"},
		"an example's output": {"", exampleFailed, "p/b.ExampleX failed"},
	} {
		err := checkFailures(c.list, strings.NewReader(c.tests), io.Discard)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
