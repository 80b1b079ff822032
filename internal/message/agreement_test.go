package message

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestProposalNumber_Less(t *testing.T) {
	for _, test := range []struct {
		name string
		a, b ProposalNumber
		want bool
	}{
		{"lower counter", ProposalNumber{Counter: 1, Proposer: "b"}, ProposalNumber{Counter: 2, Proposer: "a"}, true},
		{"higher counter", ProposalNumber{Counter: 2, Proposer: "a"}, ProposalNumber{Counter: 1, Proposer: "b"}, false},
		{"same counter, lower proposer", ProposalNumber{Counter: 1, Proposer: "a"}, ProposalNumber{Counter: 1, Proposer: "b"}, true},
		{"equal", ProposalNumber{Counter: 1, Proposer: "a"}, ProposalNumber{Counter: 1, Proposer: "a"}, false},
		{"zero value is below every proposal number", ProposalNumber{}, ProposalNumber{Counter: 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.want, test.a.Less(test.b)) })
	}
}
