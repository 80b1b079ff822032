package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Parameters of the run in CI.
const (
	bodySeed       = 1
	bodyCount      = 150
	bodiesAccepted = 15 // at least so many must come into force for the run to show something
)

// For bodies of PUT and PATCH whose text is altered at random: what is acknowledged is read back as the same value, by a
// reader that shares no code with the coordinators, from each of them, after a loss of power of all, and is what a proxy
// applies. What is refused leaves everything as it was.
func TestConfiguration_RandomBodies(t *testing.T) {
	c := startCluster(t)
	first := configurationText(1)
	require.Equal(t, http.StatusOK, c.call(configCall{http.MethodPut, "0", first}).status)
	random := rand.New(rand.NewPCG(bodySeed, 1))
	proxy := c.machines[0].start(proxyProgram)
	inForce := decodeDocument(t, first)
	accepted := 0
	for i := range bodyCount {
		call := randomCall(random, inForce)
		answer := c.call(call)
		if answer.status == http.StatusOK {
			inForce = changedDocument(t, inForce, call)
			accepted++
		} else {
			assert.Contains(t, []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge}, answer.status, call.body)
		}
		read := decodeDocument(t, c.readAt(i%len(c.machines)))
		require.Equal(t, inForce, read, "after %s %s: %d %s", call.method, call.body, answer.status, answer.body)
	}
	assert.GreaterOrEqual(t, accepted, bodiesAccepted)
	c.awaitProxy(proxy)
	c.restartCoordinators()
	for i := range c.machines {
		assert.Equal(t, inForce, decodeDocument(t, c.readAt(i)))
	}
	c.awaitProxy(proxy)
}

// decodeDocument decodes a configuration by the standard library alone.
func decodeDocument(t *testing.T, text string) map[string]any {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	var document map[string]any
	require.NoError(t, decoder.Decode(&document), text)
	_, err := decoder.Token()
	require.Error(t, err, "text behind the document: %s", text)
	return document
}

// changedDocument returns the configuration after a change that was acknowledged.
func changedDocument(t *testing.T, inForce map[string]any, call configCall) map[string]any {
	t.Helper()
	sent := decodeDocument(t, call.body)
	result := sent
	if call.method == http.MethodPatch {
		result = maps.Clone(inForce)
		for _, list := range []string{"routes", "services"} {
			removed, added := memberList(sent["remove"], list), memberList(sent["add"], list)
			replaced := lo.Map(added, func(item any, _ int) any { return nameOf(item) })
			before := memberList(inForce, list)
			kept := lo.Reject(before, func(item any, _ int) bool { return slices.Contains(removed, nameOf(item)) })
			for i, item := range kept {
				if j := slices.Index(replaced, nameOf(item)); j >= 0 {
					kept[i] = added[j]
				}
			}
			names := lo.Map(kept, func(item any, _ int) any { return nameOf(item) })
			kept = append(kept, lo.Reject(added, func(item any, _ int) bool { return slices.Contains(names, nameOf(item)) })...)
			if len(kept) > 0 || inForce[list] != nil {
				result[list] = kept
			}
		}
	}
	result["version"] = wholeNumber(t, sent["version"].(json.Number))
	return result
}

// wholeNumber returns a number as digits only.
func wholeNumber(t *testing.T, number json.Number) json.Number {
	t.Helper()
	exact, ok := new(big.Rat).SetString(number.String())
	require.True(t, ok && exact.IsInt(), number)
	return json.Number(exact.Num().String())
}

func memberList(object any, list string) []any {
	members, _ := object.(map[string]any)
	items, _ := members[list].([]any)
	return slices.Clone(items)
}

func nameOf(item any) any {
	members, _ := item.(map[string]any)
	return members["name"]
}

// randomCall returns a change on top of a configuration whose text is altered in most cases.
func randomCall(random *rand.Rand, inForce map[string]any) configCall {
	base := inForce["version"].(json.Number).String()
	number, _ := inForce["version"].(json.Number).Int64()
	version := int(number) + 1 + random.IntN(3)
	call := configCall{http.MethodPut, base, configurationText(version)}
	if random.IntN(2) == 0 {
		name := fmt.Sprintf("q-%d", random.IntN(4))
		call.method, call.body = http.MethodPatch, fmt.Sprintf(`{"version":%d,"add":{"routes":[{"name":%q,"host":"h.example",`+
			`"pathStart":"/%s/","kind":"read_only","timeoutMs":1e3,"split":[{"service":"docs","share":2}],"note":{"x":"é\u00e9"}}]},`+
			`"remove":{"routes":["q-%d"],"services":[]}}`, version, name, name, random.IntN(4))
	}
	for range random.IntN(3) {
		call.body = alterText(random, call.body)
	}
	return call
}

// tokens are pieces of text at which readers of JSON differ, or that change the meaning of a text.
var tokens = []string{
	"}", "]", "{}", "null", "0", "-0", "1e999", "1E2", ",", `"version":99,`, `"Version":99,`, `"name":"x",`, `\ud800`, `\u0000`,
	"\x00", "\xff", " ", "\n", `"`, "/", `"docs"`, `"routes":[],`, "9007199254740993", "1.5", "true", "\u017f", "[[", "\ufeff",
}

// alterText returns a text with one change: a token in it, a part of it away, twice or in capitals.
func alterText(random *rand.Rand, text string) string {
	from := random.IntN(len(text))
	to := min(len(text), from+1+random.IntN(12))
	token := tokens[random.IntN(len(tokens))]
	switch random.IntN(6) {
	case 0:
		return text[:from] + text[to:]
	case 1:
		return text[:to] + text[from:]
	case 2:
		return text[:from] + strings.ToUpper(text[from:to]) + text[to:]
	case 3:
		return text + token
	case 4:
		index := bytes.IndexAny([]byte(text[from:]), `,:{[`)
		if index >= 0 {
			return text[:from+index+1] + token + text[from+index+1:]
		}
	}
	return text[:from] + token + text[from:]
}
