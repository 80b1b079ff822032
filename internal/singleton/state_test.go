package singleton

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

func TestState_ApplyIgnoresStaleCommands(t *testing.T) {
	s := NewState()
	for _, step := range []struct {
		name    string
		command Command
		want    error
	}{
		{"first grant", Command{Kind: CommandGrant, Role: "w", Instance: "a", Incarnation: 1}, nil},
		{"grant with an old token", Command{Kind: CommandGrant, Role: "w", Instance: "b", Incarnation: 1}, ErrStaleToken},
		{"expiration", Command{Kind: CommandExpire, Role: "w", Token: 1}, nil},
		{"second expiration", Command{Kind: CommandExpire, Role: "w", Token: 1}, ErrStaleToken},
		{"release after expiration", Command{Kind: CommandRelease, Role: "w", Token: 1}, ErrStaleToken},
		{"second grant", Command{Kind: CommandGrant, Role: "w", Instance: "b", Incarnation: 1, Token: 1}, nil},
		{"release with an old token", Command{Kind: CommandRelease, Role: "w", Token: 1}, ErrStaleToken},
		{"release", Command{Kind: CommandRelease, Role: "w", Token: 2}, nil},
	} {
		if err := s.Apply(step.command); !errors.Is(err, step.want) {
			t.Errorf("%s: %v", step.name, err)
		}
	}
	err := s.Apply(Command{Kind: "of a newer build", Role: "w"})
	if !errors.Is(err, ErrUnknownCommand) || s.Assignments["w"] != (Assignment{Token: 2}) {
		t.Errorf("%v, %+v", err, s.Assignments["w"])
	}
}

func TestState_BoundsRoles(t *testing.T) {
	s := NewState()
	var err error
	for i := range 2 * MaxRoles {
		err = s.Apply(Command{Kind: CommandSetDesiredHolder, Role: fmt.Sprint(i), Instance: "a"})
	}
	if len(s.Assignments) != MaxRoles || !errors.Is(err, ErrTooManyRoles) {
		t.Errorf("%d roles are stored, %v", len(s.Assignments), err)
	}
}

func TestState_SnapshotRoundTrip(t *testing.T) {
	s := NewState()
	for _, c := range []Command{
		{Kind: CommandSetLeaseDuration, LeaseDuration: 2e6},
		{Kind: CommandGrant, Role: "w", Instance: "a", Incarnation: 7},
		{Kind: CommandExpire, Role: "w", Token: 1},
		{Kind: CommandGrant, Role: "w", Instance: "b", Incarnation: 8, Token: 1},
		{Kind: CommandSetDesiredHolder, Role: "w", Instance: "a"},
	} {
		if err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if restored, err := DecodeState(text); err != nil || !reflect.DeepEqual(restored, s) {
		t.Errorf("%+v, %v; want %+v", restored, err, s)
	}
}
