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

	"pumiceline/internal/singleton"
)

// startHeader is the header with the sending member's start, as startID.String writes it.
const startHeader = "X-Start"

const maxReplyBytes = 4 << 10 // of the error text of a peer

// ErrStartedElsewhere is the error of a member that ends because another process runs with its ID.
var ErrStartedElsewhere = errors.New("the member has been started elsewhere")

// peer is another member.
type peer struct {
	addr  string
	queue chan []byte // encoded raft messages, for sendQueued
}

// enqueue queues a raft message for its receiver. Where the queue is full the message is lost, as on a network.
func (m *Member) enqueue(msg *pb.Message) {
	p := m.peers[msg.GetTo()]
	text, err := proto.Marshal(msg)
	if p == nil || err != nil {
		return
	}
	// Raft sends a peer nothing else until the snapshot's end is reported. Whether it arrived shows in what the peer
	// acknowledges next.
	if msg.GetType() == pb.MessageType_MsgSnap {
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
			reply, _ := m.post(ctx, p.addr, raftPath, text) // an error is a loss
			if reply.status == http.StatusConflict {
				m.fail(fmt.Errorf("member %d: %w: %s", m.opts.ID, ErrStartedElsewhere, reply.text))
			}
		}
	}
}

// fail has the raft loop end with an error, the first of several.
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

// post sends a request to a peer and waits for its response for requestTicks at most.
func (m *Member) post(ctx context.Context, addr, path string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTicks*m.tickInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(singleton.FleetHeader, m.opts.Fleet)
	req.Header.Set(startHeader, startID{m.store.startCount, m.nonce}.String())
	resp, err := m.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return reply{resp.StatusCode, string(bytes.TrimSpace(text))}, err
}
