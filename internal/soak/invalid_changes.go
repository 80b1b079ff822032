package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"pumiceline/internal/ctxtime"
)

// invalidInterval is the time between two invalid changes that the operators send besides the schedule.
const invalidInterval = 400 * time.Millisecond

// invalidChange is a way in which a change is invalid, or in which two readers of JSON could read it as two changes.
type invalidChange struct {
	name   string
	method string
	// body returns a body that would make a version with a marker's route of a configuration that is based on an older
	// version, if it were valid.
	body func(c *changeCall) ([]byte, error)
}

// invalidChanges are sent in turn.
var invalidChanges = []invalidChange{
	{"unknown service", http.MethodPut, func(c *changeCall) ([]byte, error) { return putBody(c.version, c.marker, true) }},
	{"closing brace behind it", http.MethodPut, alteredPut(func(text []byte) []byte { return append(text, '}') })},
	{"second document behind it", http.MethodPut, alteredPut(func(text []byte) []byte { return append(text, text...) })},
	{"cut", http.MethodPut, alteredPut(func(text []byte) []byte { return text[:len(text)-1] })},
	{"key twice", http.MethodPut, alteredPut(withMember(`"routes":[]`))},
	{"key twice by case", http.MethodPut, alteredPut(withMember(`"Routes":[]`))},
	{"number beyond all floats", http.MethodPut, alteredPut(withMember(`"note":1e999`))},
	{"half of a character", http.MethodPut, alteredPut(withMember(`"note":"\ud800"`))},
	{"two versions by case", http.MethodPatch, alteredPatch(func(c *changeCall) string { return fmt.Sprintf(`"Version":%d`, c.version+1) })},
	{"unknown list", http.MethodPatch, alteredPatch(func(*changeCall) string { return `"replace":{"routes":[]}` })},
	{"version that does not rise", http.MethodPatch, func(c *changeCall) ([]byte, error) { return patchBody(c.base, c.marker, "") }},
}

// alteredPut returns what makes the body of a valid PUT and alters its text.
func alteredPut(alter func(text []byte) []byte) func(*changeCall) ([]byte, error) {
	return func(c *changeCall) ([]byte, error) {
		text, err := putBody(c.version, c.marker, false)
		if err != nil {
			return nil, err
		}
		return alter(text), nil
	}
}

// alteredPatch returns what makes the body of a valid PATCH and adds a member to it.
func alteredPatch(member func(c *changeCall) string) func(*changeCall) ([]byte, error) {
	return func(c *changeCall) ([]byte, error) {
		text, err := patchBody(c.version, c.marker, "")
		if err != nil {
			return nil, err
		}
		return withMember(member(c))(text), nil
	}
}

// withMember returns what adds a member at the end of an object.
func withMember(member string) func(object []byte) []byte {
	return func(object []byte) []byte {
		return append(bytes.TrimSuffix(object, []byte("}")), ","+member+"}"...)
	}
}

// sendInvalid sends an invalid change every invalidInterval until ctx ends. It does not wait for the changes before.
func (o *operators) sendInvalid(ctx context.Context) error {
	for ctxtime.Sleep(ctx, invalidInterval) == nil {
		if err := o.change(ctx, Step{Action: ActionInvalid, Racing: true, VersionStep: firstChangeStep}); err != nil {
			return err
		}
	}
	return nil
}
