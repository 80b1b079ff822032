// Command benchlink runs balancers on the bench's wire: batches of events on standard input, replies on
// standard output, one decide.Balancer for each instance.
package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"pumiceline/internal/simlink"
	"pumiceline/internal/standalone/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends between two of them. A malformed batch is not answered at all.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	var (
		head      [simlink.BatchHeaderSize]byte
		body      []byte
		reply     []byte
		actions   []policy.Action
		dec       simlink.Decoder
		rec       simlink.Record
		instances = map[uint16]*policy.Balancer{}
	)
	for batch := 0; ; batch++ {
		if _, err := io.ReadFull(r, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header truncated: %w", batch, err)
		}
		size, count, now, err := simlink.ParseBatchHeader(head[:])
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if body, err = readBody(r, body, int(size)); err != nil {
			return fmt.Errorf("batch %d: body truncated: %w", batch, err)
		}
		dec.Reset(body)
		reply = append(reply[:0], make([]byte, simlink.ReplyHeaderSize)...)
		replies := uint32(0)
		for i := uint32(0); i < count; i++ {
			if err := dec.Next(&rec); err != nil {
				return fmt.Errorf("batch %d: record %d: %w", batch, i, err)
			}
			switch rec.Kind {
			case simlink.SpawnInstance:
				b, err := policy.New(rec.Settings, rec.Seed)
				if err != nil {
					return fmt.Errorf("batch %d: record %d: instance %d: %w", batch, i, rec.Instance, err)
				}
				instances[rec.Instance] = b
			case simlink.RemoveInstance:
				delete(instances, rec.Instance)
			case simlink.DeliverEvent:
				b := instances[rec.Instance]
				if b == nil {
					return fmt.Errorf("batch %d: record %d: instance %d was not started", batch, i, rec.Instance)
				}
				actions = b.Handle(now, &rec.Event, actions[:0])
				for k := range actions {
					reply = simlink.AppendAction(reply, rec.Instance, &actions[k])
				}
				replies += uint32(len(actions))
			}
		}
		if dec.Remaining() != 0 {
			return fmt.Errorf("batch %d: %d bytes follow the last record", batch, dec.Remaining())
		}
		binary.BigEndian.PutUint32(reply, uint32(len(reply)-simlink.ReplyHeaderSize))
		binary.BigEndian.PutUint32(reply[4:], replies)
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
}

// readBody reads size bytes, growing the buffer only as bytes really arrive.
func readBody(r io.Reader, body []byte, size int) ([]byte, error) {
	const step = 1 << 20
	body = body[:0]
	for len(body) < size {
		n := min(step, size-len(body))
		at := len(body)
		if cap(body) < at+n {
			grown := make([]byte, at, 2*(at+n))
			copy(grown, body)
			body = grown
		}
		body = body[:at+n]
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return body, err
		}
	}
	return body, nil
}
