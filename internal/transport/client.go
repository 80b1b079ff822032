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

// PollRequest asks the peer at address and waits for its answer until ctx ends, which ends the connection, too.
func (c *Client) Pull(ctx context.Context, address string, from string, pull message.PollRequest) (*message.PollResponse, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, err
	}
	id, answer := c.register()
	defer c.forget(id)
	pull.ID = id
	m, err := c.call(ctx, conn, &message.Message{From: message.MemberID(from), PollRequest: &pull}, answer)
	switch {
	case ctx.Err() != nil:
		c.drop(conn)
		return nil, ctx.Err()
	case err != nil:
		return nil, err
	case m.PollResponse == nil:
		return nil, ErrDisconnected
	}
	return m.PollResponse, nil
}

// IsConnected reports whether a connection to the peer at address is open.
func (c *Client) IsConnected(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.conn != nil && c.address == address
}

// Connect opens a connection to the peer at address, in place of one to another.
func (c *Client) Connect(address string) error {
	_, err := c.connect(address)
	return err
}

// Disconnect closes the connection; calls under way end.
func (c *Client) Disconnect() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

// current returns the open connection to the peer at address.
func (c *Client) current(address string) (net.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == nil || c.address != address {
		return nil, ErrDisconnected
	}
	return c.conn, nil
}

// TellLoads writes a report that asks nothing. It opens no connection.
func (c *Client) TellLoads(address string, from string, report message.LoadReport) error {
	conn, err := c.current(address)
	if err != nil {
		return err
	}
	frame, err := Encode(&message.Message{From: message.MemberID(from), LoadReport: &report})
	if err != nil {
		return err
	}
	return c.write(conn, frame)
}

// Question is a report that asks, on its way.
type Question struct {
	client *Client
	id     uint64
	answer chan *message.Message
}

// AskLoads writes a report that asks; the answer is waited for apart. It opens no connection.
func (c *Client) AskLoads(address string, from string, report message.LoadReport) (*Question, error) {
	conn, err := c.current(address)
	if err != nil {
		return nil, err
	}
	id, answer := c.register()
	report.ID = id
	frame, err := Encode(&message.Message{From: message.MemberID(from), LoadReport: &report})
	if err == nil {
		err = c.write(conn, frame)
	}
	if err != nil {
		c.forget(id)
		return nil, err
	}
	return &Question{client: c, id: id, answer: answer}, nil
}

// Wait returns the answer, or an error when ctx ends before it; the connection stays.
func (q *Question) Wait(ctx context.Context) (*message.LoadResponse, error) {
	defer q.client.forget(q.id)
	select {
	case m, ok := <-q.answer:
		if !ok || m.LoadResponse == nil {
			return nil, ErrDisconnected
		}
		return m.LoadResponse, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// call writes a message and waits for the answer to it.
func (c *Client) call(ctx context.Context, conn net.Conn, m *message.Message, answer <-chan *message.Message) (*message.Message, error) {
	frame, err := Encode(m)
	if err != nil {
		return nil, err
	}
	if err := c.write(conn, frame); err != nil {
		return nil, err
	}
	select {
	case m, ok := <-answer:
		if !ok {
			return nil, ErrDisconnected
		}
		return m, nil
	case <-ctx.Done():
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
		id, ok := answerTo(m)
		if !ok {
			continue
		}
		c.mutex.Lock()
		if answer, ok := c.waiting[id]; ok {
			answer <- m
			delete(c.waiting, id)
		}
		c.mutex.Unlock()
	}
}

// answerTo is the number of the call that a message answers.
func answerTo(m *message.Message) (id uint64, ok bool) {
	switch {
	case m.PollResponse != nil:
		return m.PollResponse.ID, true
	case m.LoadResponse != nil:
		return m.LoadResponse.ID, true
	}
	return 0, false
}
