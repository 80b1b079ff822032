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

const maxReplyBytes = 4 << 10 // of a peer's response

// ErrStartedElsewhere is the error of a member that stops because another process runs with its ID.
var ErrStartedElsewhere = errors.New("the member has been started elsewhere")

// peer is another member.
type peer struct {
	addr  string
	queue chan []byte // encoded raft messages, for sendQueued
}

// enqueue queues a raft message for its receiver. If the queue is full the message is lost, as on a network.
func (m *Member) enqueue(msg *pb.Message) {
	p := m.peers[msg.GetTo()]
	text, err := proto.Marshal(msg)
	if p == nil || err != nil {
		return
	}
	// Raft sends the peer no further entries until the snapshot is reported as sent. Whether it arrived shows in the
	// peer's next acknowledgement.
	if msg.GetType() == pb.MessageType_MsgSnap {
		m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish)
	}
	select {
	case p.queue <- text:
	default:
		m.node.ReportUnreachable(msg.GetTo())
	}
}

// sendQueued sends the queued messages to a peer until ctx ends, one at a time: those that are not lost keep their
// order.
func (m *Member) sendQueued(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case text := <-p.queue:
			reply, _ := m.post(ctx, p.addr, raftPath, text) // after an error the message is lost
			if reply.status == http.StatusConflict {
				m.fail(fmt.Errorf("member %d: %w: %s", m.opts.ID, ErrStartedElsewhere, reply.text))
			}
		}
	}
}

// fail ends the raft loop with an error. Of several errors the first counts.
func (m *Member) fail(err error) {
	select {
	case m.fatal <- err:
	default:
	}
}

// reply is a peer's response to a request; zero if there was none.
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
