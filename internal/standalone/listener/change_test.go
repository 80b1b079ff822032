package listener

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"

	"pumiceline/internal/standalone/settings"
)

// New settings bind requests that come from then on: a class that appears is served, with no key where it may never be
// repeated; one that vanishes is a 400; a change that another part turns down changes nothing.
func TestSettingsChangeUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inside, goOn := make(chan struct{}, 9), make(chan struct{})
		f := newFront(func(r *http.Request) (*http.Response, error) {
			inside <- struct{}{}
			<-goOn
			return answer(r)
		}, 9)
		ln, stop := start(t, f)
		ask := func(class, method, id string) int {
			c, r := ln.dial()
			defer c.Close()
			resp, _, err := request(c, r, method+" /"+class+" HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "+id+"\r\nX-Service-Class: "+class+
				"\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\nContent-Length: 0\r\n\r\n")
			if err != nil {
				t.Error(err)
				return 0
			}
			return resp.StatusCode
		}
		old := make(chan int, 1)
		go func() { old <- ask("quote", "GET", "1") }()
		<-inside
		next := site()
		next.Classes = []settings.Class{{Name: "bind", Semantics: "side_effect", ClientTimeout: 1e6}, next.Classes[1]}
		if err := f.ApplySettings(next, func(*settings.Settings) error { return errors.New("no") }); err == nil {
			t.Error("a change that another part turned down was taken")
		}
		if got := ask("bind", "POST", "2"); got != 400 {
			t.Errorf("a class of settings that were turned down: %d", got)
		}
		var numbered []settings.Class
		if err := f.ApplySettings(next, func(s *settings.Settings) error { numbered = s.Classes; return nil }); err != nil {
			t.Error(err)
		}
		if len(numbered) != 3 || numbered[0].Name != "quote" {
			t.Errorf("the number of a request under way went to another class: %+v", numbered)
		}
		if f.InFlight() != 1 {
			t.Errorf("%d requests are under way", f.InFlight())
		}
		close(goOn)
		if got := <-old; got != 200 {
			t.Errorf("the request under way got %d", got)
		}
		for class, want := range map[string]int{"bind": 200, "quote": 400} {
			if got := ask(class, "POST", class); got != want {
				t.Errorf("%s: %d, want %d", class, got, want)
			}
		}
		if err := <-stop(); err != nil {
			t.Error(err)
		}
	})
}
