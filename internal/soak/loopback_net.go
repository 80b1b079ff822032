package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Range of the second byte of the nodes' addresses.
const (
	firstLoopbackNet = 64
	loopbackNets     = 128
)

// addressesPerSubnet is how many nodes have the same first three bytes of their addresses.
const addressesPerSubnet = 250

// claimPort is the port that a run holds on the last address of its network.
const claimPort = 10084

// errNoLoopbackNet is the error of a run that finds no free network.
var errNoLoopbackNet = errors.New("every loopback network is in use by another run")

// loopbackNet is a network of loopback addresses that one run at a time has. Concurrent runs must not share one: a machine
// that is removed leaves its address free, and a process of another run there would answer in its place.
type loopbackNet struct {
	number int // second byte of the addresses
	claim  net.Listener
}

// claimLoopbackNet claims a network until it is closed. It begins with one that the process ID selects, so that most
// runs find theirs at once.
func claimLoopbackNet() (*loopbackNet, error) {
	for offset := range loopbackNets {
		number := firstLoopbackNet + (os.Getpid()+offset)%loopbackNets
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", number, claimPort))
		if err == nil {
			return &loopbackNet{number: number, claim: claim}, nil
		}
	}
	return nil, errNoLoopbackNet
}

// address returns the IP address of a node.
func (l *loopbackNet) address(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.number, index/addressesPerSubnet, 1+index%addressesPerSubnet)
}

func (l *loopbackNet) close() {
	_ = l.claim.Close() // a listener without connections
}
