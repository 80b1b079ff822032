package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Client makes calls to one peer at a time over a connection that is kept open.
type Client struct {
	mutex   sync.Mutex
	address string
	conn    net.Conn
	next    uint64
	waiting map[uint64]chan *message.Message
}

// NewClient makes a client without a connection.
func NewClient() *Client { return &Client{waiting: map[uint64]chan *message.Message{}} }

// ErrDisconnected ends the calls on a connection that broke.
var ErrDisconnected = errors.New("the connection broke")

// Pull asks the peer at address and waits for its answer until ctx ends.
func (c *Client) Pull(ctx context.Context, address string, from string, pull message.Pull) (*message.PullReply, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, err
	}
	id, answer := c.register()
	defer c.forget(id)
	pull.ID = id
	frame, err := Encode(&message.Message{From: from, Pull: &pull})
	if err != nil {
		return nil, err
	}
	if err := c.write(conn, frame); err != nil {
		return nil, err
	}
	select {
	case m, ok := <-answer:
		if !ok || m.PullReply == nil {
			return nil, ErrDisconnected
		}
		return m.PullReply, nil
	case <-ctx.Done():
		c.drop(conn)
		return nil, ctx.Err()
	}
}

func (c *Client) write(conn net.Conn, frame []byte) error {
	c.mutex.Lock()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // writing reports what matters
	_, err := conn.Write(frame)
	c.mutex.Unlock()
	if err != nil {
		c.drop(conn)
		return errors.Wrap(err, "writing a call")
	}
	return nil
}

func (c *Client) connect(address string) (net.Conn, error) {
	c.mutex.Lock()
	conn, same := c.conn, c.address == address
	c.mutex.Unlock()
	if conn != nil && same {
		return conn, nil
	}
	if conn != nil {
		c.drop(conn)
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting")
	}
	c.mutex.Lock()
	c.conn, c.address = conn, address
	c.mutex.Unlock()
	go c.receive(conn)
	return conn, nil
}

func (c *Client) register() (uint64, chan *message.Message) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	answer := make(chan *message.Message, 1)
	c.waiting[c.next] = answer
	return c.next, answer
}

func (c *Client) forget(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
}

// drop ends a connection and all calls on it.
func (c *Client) drop(conn net.Conn) {
	conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for id, answer := range c.waiting {
		close(answer)
		delete(c.waiting, id)
	}
}

func (c *Client) receive(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		m, err := Decode(reader)
		if err != nil {
			c.drop(conn)
			return
		}
		if m.PullReply == nil {
			continue
		}
		c.mutex.Lock()
		if answer, ok := c.waiting[m.PullReply.ID]; ok {
			answer <- m
			delete(c.waiting, m.PullReply.ID)
		}
		c.mutex.Unlock()
	}
}
