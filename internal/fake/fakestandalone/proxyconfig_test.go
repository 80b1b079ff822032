package fakestandalone

import (
	"testing"

	"pumiceline/internal/standalone/config"
)

func TestProxyConfig_IsValid(t *testing.T) {
	text, err := ProxyConfig("127.0.0.1:1", "127.0.0.1:2", []string{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil || len(cfg.Policy.Classes) != len(Classes) {
		t.Errorf("%v", err)
	}
}
