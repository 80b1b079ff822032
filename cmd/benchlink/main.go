// Command benchlink runs balancers for the operators' simulator: it reads batches of events from standard input and
// writes replies to standard output. Each instance has a policy.Balancer of its own.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"pumiceline/internal/simlink"
	"pumiceline/internal/standalone/policy"
)

const readBufferSize = 1 << 16 // bytes

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve replies to each batch until the input ends between two batches. A malformed batch gets no reply, not even a
// partial one, and ends serve with an error.
func serve(in io.Reader, out io.Writer) error {
	h := host{in: bufio.NewReaderSize(in, readBufferSize), instances: map[uint16]*policy.Balancer{}}
	for batch := 0; ; batch++ {
		reply, err := h.handleBatch()
		if errors.Is(err, errInputEnded) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// errInputEnded is returned by readBatch when the input ends between two batches.
var errInputEnded = errors.New("input ended")

// host runs the instances. Its buffers are reused for each batch.
type host struct {
	in        *bufio.Reader
	instances map[uint16]*policy.Balancer
	decoder   simlink.Decoder
	record    simlink.Record
	body      []byte
	reply     []byte
	replies   uint32 // records in reply
	actions   []policy.Action
}

// handleBatch reads a batch, hands its events to the instances and returns the reply, which is valid until the next
// call.
func (h *host) handleBatch() ([]byte, error) {
	header, err := h.readBatch()
	if err != nil {
		return nil, err
	}
	h.decoder.Reset(h.body)
	h.reply, h.replies = append(h.reply[:0], make([]byte, simlink.ReplyHeaderSize)...), 0
	for i := range header.RecordCount {
		if err := h.handleRecord(header.Now); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	if n := h.decoder.Remaining(); n != 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", n)
	}
	simlink.PutReplyHeader(h.reply, h.replies)
	return h.reply, nil
}

// readBatch reads the next batch, stores its body in h.body and returns its header.
func (h *host) readBatch() (simlink.BatchHeader, error) {
	var text [simlink.BatchHeaderSize]byte
	if _, err := io.ReadFull(h.in, text[:]); err == io.EOF {
		return simlink.BatchHeader{}, errInputEnded
	} else if err != nil {
		return simlink.BatchHeader{}, fmt.Errorf("header truncated: %w", err)
	}
	header, err := simlink.ParseBatchHeader(text[:])
	if err != nil {
		return simlink.BatchHeader{}, err
	}
	if h.body, err = readBody(h.in, h.body, int(header.BodySize)); err != nil {
		return simlink.BatchHeader{}, fmt.Errorf("body truncated: %w", err)
	}
	return header, nil
}

// handleRecord decodes and applies the next record, and appends the resulting actions to the reply.
func (h *host) handleRecord(now policy.Time) error {
	r := &h.record
	if err := h.decoder.Next(r); err != nil {
		return err
	}
	switch r.Kind {
	case simlink.SpawnInstance:
		balancer, err := policy.New(r.Settings, r.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", r.Instance, err)
		}
		h.instances[r.Instance] = balancer
	case simlink.RemoveInstance:
		delete(h.instances, r.Instance)
	case simlink.DeliverEvent:
		balancer := h.instances[r.Instance]
		if balancer == nil {
			return fmt.Errorf("instance %d was not started", r.Instance)
		}
		h.actions = balancer.Handle(now, &r.Event, h.actions[:0])
		for i := range h.actions {
			h.reply = simlink.AppendAction(h.reply, r.Instance, &h.actions[i])
		}
		h.replies += uint32(len(h.actions))
	}
	return nil
}

// readBody reads size bytes into body. It grows body only as bytes arrive: size is untrusted input, and a malformed
// header must not make it allocate memory for bytes that never come.
func readBody(r io.Reader, body []byte, size int) ([]byte, error) {
	const step = 1 << 20 // bytes
	body = body[:0]
	for len(body) < size {
		offset := len(body)
		n := min(step, size-offset)
		if cap(body) < offset+n {
			grown := make([]byte, offset, 2*(offset+n))
			copy(grown, body)
			body = grown
		}
		body = body[:offset+n]
		if _, err := io.ReadFull(r, body[offset:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return body, err
		}
	}
	return body, nil
}
