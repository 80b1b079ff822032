package raftmember

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Headers of requests between members, from instances and from operators.
const (
	fleetHeader  = "X-Fleet"  // the sender's fleet
	startHeader  = "X-Start"  // the sending member's start count and nonce
	leaderHeader = "X-Leader" // of a response: the leader's ID
)

// ErrStartedElsewhere is the error of a member that ends because another process runs with its ID.
var ErrStartedElsewhere = errors.New("the member has been started elsewhere")

// peer is another member.
type peer struct {
	addr  string
	queue chan []byte // encoded raft messages, for sendQueued
}

// enqueue queues a raft message for its receiver. A full queue loses it, as a network would.
func (m *Member) enqueue(msg *pb.Message) {
	p := m.peers[msg.GetTo()]
	text, err := proto.Marshal(msg)
	if p == nil || err != nil {
		return
	}
	if msg.GetType() == pb.MessageType_MsgSnap { // whether it arrived shows in what the receiver sends next
		m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish)
	}
	select {
	case p.queue <- text:
	default:
		m.node.ReportUnreachable(msg.GetTo())
	}
}

// sendQueued sends the messages to a peer until ctx ends, one at a time: those that are not lost keep their order.
func (m *Member) sendQueued(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case text := <-p.queue:
			reply, _ := m.post(ctx, p.addr, "/v1/raft", text) // an error is a loss
			if reply.status == http.StatusConflict {
				m.fail(fmt.Errorf("member %d: %w: %s", m.opts.ID, ErrStartedElsewhere, reply.text))
			}
		}
	}
}

// fail has the raft loop end with an error. Only the first counts.
func (m *Member) fail(err error) {
	select {
	case m.fatal <- err:
	default:
	}
}

// reply is a peer's response to a request; zero where none came.
type reply struct {
	status int
	text   string
}

// post sends a request to a peer and waits for its response for ten ticks at most.
func (m *Member) post(ctx context.Context, addr, path string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTicks*m.tickInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(fleetHeader, m.opts.Fleet)
	req.Header.Set(startHeader, fmt.Sprintf("%d %d", m.store.startCount, m.nonce))
	resp, err := m.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	return reply{resp.StatusCode, string(bytes.TrimSpace(text))}, err
}
