package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// ErrDisconnected is returned for a request whose connection broke or was never open. If it broke, the peer may still
// have handled the request.
var ErrDisconnected = errors.New("the connection broke")

// Client sends requests to one peer at a time over a connection that is kept open. Several goroutines may use it: their
// requests share the connection, and responses are matched to requests by ID.
type Client struct {
	dialMutex  sync.Mutex // held while a connection is opened, so that concurrent requests open only one
	writeMutex sync.Mutex // held while a frame is written, for up to writeTimeout

	created  time.Time
	received atomic.Int64 // when bytes last arrived, in nanoseconds since created

	mutex   sync.Mutex // guards the fields below; never held during I/O
	address string
	conn    net.Conn // connection to address; nil: none is open
	lastID  uint64
	pending map[uint64]chan *message.Message // by request ID; a channel is closed when the connection breaks
}

// NewClient makes a client without a connection.
func NewClient() *Client {
	return &Client{created: time.Now(), pending: map[uint64]chan *message.Message{}}
}

// Poll sends a request to the peer at an address and waits for the response. It opens a connection if there is none. If
// nothing of the response arrives within timeout, or ctx ends, Poll treats the peer as unreachable and closes the
// connection, also while it connects or writes. Once bytes arrive, the response may take longer, as long as no pause is
// too long: a large response over a link that many share must not be begun again and again.
func (c *Client) Poll(
	ctx context.Context, address string, from message.MemberID, request message.PollRequest, timeout time.Duration,
) (*message.PollResponse, error) {
	watch := newStallWatch(c, timeout)
	defer watch.stop()
	conn, err := c.connectWithin(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	go watch.run(ctx, conn)
	id, responses := c.register()
	defer c.unregister(id)
	request.ID = id
	response, err := c.roundTrip(conn, &message.Message{From: from, PollRequest: &request}, responses)
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		return nil, err
	case response.PollResponse == nil:
		return nil, ErrDisconnected
	}
	return response.PollResponse, nil
}

// connectWithin returns the connection to the peer at an address, and opens it within timeout if needed.
func (c *Client) connectWithin(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.connectTo(ctx, address)
}

// IsConnected reports whether a connection to the peer at an address is open.
func (c *Client) IsConnected(address string) bool {
	_, err := c.openConn(address)
	return err == nil
}

// Connect opens a connection to the peer at an address, and closes one to any other address.
func (c *Client) Connect(address string) error {
	_, err := c.connectTo(context.Background(), address)
	return err
}

// Disconnect closes the connection. Its pending requests end with ErrDisconnected.
func (c *Client) Disconnect() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

// SendLoads sends a report without a query. It does not open a connection: if there is none, it returns
// ErrDisconnected.
func (c *Client) SendLoads(address string, from message.MemberID, report message.LoadReport) error {
	conn, err := c.openConn(address)
	if err != nil {
		return err
	}
	frame, err := Encode(&message.Message{From: from, LoadReport: &report})
	if err != nil {
		return err
	}
	return c.write(conn, frame)
}

// LoadQuery is a query that was sent with a report and has no response yet. The caller must call Wait, which also
// removes the query from the pending requests.
type LoadQuery struct {
	client    *Client
	id        uint64
	responses chan *message.Message
}

// QueryLoads sends a report with a query. It does not open a connection: if there is none, it returns ErrDisconnected.
func (c *Client) QueryLoads(address string, from message.MemberID, report message.LoadReport) (*LoadQuery, error) {
	conn, err := c.openConn(address)
	if err != nil {
		return nil, err
	}
	id, responses := c.register()
	report.ID = id
	frame, err := Encode(&message.Message{From: from, LoadReport: &report})
	if err == nil {
		err = c.write(conn, frame)
	}
	if err != nil {
		c.unregister(id)
		return nil, err
	}
	return &LoadQuery{client: c, id: id, responses: responses}, nil
}

// Wait returns the response, or an error if the connection breaks or ctx ends first. The connection stays open when ctx
// ends.
func (q *LoadQuery) Wait(ctx context.Context) (*message.LoadResponse, error) {
	defer q.client.unregister(q.id)
	select {
	case m, ok := <-q.responses:
		if !ok || m.LoadResponse == nil {
			return nil, ErrDisconnected
		}
		return m.LoadResponse, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// roundTrip sends a request and waits for its response, until the connection breaks.
func (c *Client) roundTrip(
	conn net.Conn, request *message.Message, responses <-chan *message.Message,
) (*message.Message, error) {
	frame, err := Encode(request)
	if err != nil {
		return nil, err
	}
	if err := c.write(conn, frame); err != nil {
		return nil, err
	}
	response, ok := <-responses
	if !ok {
		return nil, ErrDisconnected
	}
	return response, nil
}

func (c *Client) write(conn net.Conn, frame []byte) error {
	c.writeMutex.Lock()
	err := writeFrame(conn, frame)
	c.writeMutex.Unlock()
	if err != nil {
		c.drop(conn)
		return errors.Wrap(err, "write a request")
	}
	return nil
}

// openConn returns the open connection to the peer at an address, or ErrDisconnected if there is none.
func (c *Client) openConn(address string) (net.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == nil || c.address != address {
		return nil, ErrDisconnected
	}
	return c.conn, nil
}

// connectTo returns the connection to the peer at an address, and opens it if needed. It closes a connection to any
// other address.
func (c *Client) connectTo(ctx context.Context, address string) (net.Conn, error) {
	if conn, err := c.openConn(address); err == nil {
		return conn, nil
	}
	c.dialMutex.Lock()
	defer c.dialMutex.Unlock()
	c.mutex.Lock()
	conn, isSame := c.conn, c.address == address
	c.mutex.Unlock()
	if conn != nil && isSame {
		return conn, nil
	}
	if conn != nil {
		c.drop(conn)
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c.mutex.Lock()
	c.conn, c.address = conn, address
	c.mutex.Unlock()
	go c.receive(conn)
	return conn, nil
}

// register returns the ID of a new request, and the channel that receives its response.
func (c *Client) register() (uint64, chan *message.Message) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	responses := make(chan *message.Message, 1)
	c.pending[c.lastID] = responses
	return c.lastID, responses
}

func (c *Client) unregister(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

// drop closes a connection. If it is the current one, all pending requests end with ErrDisconnected.
func (c *Client) drop(conn net.Conn) {
	conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for id, responses := range c.pending {
		close(responses)
		delete(c.pending, id)
	}
}

// receive delivers responses to their requests until the connection breaks. It drops a response whose request no longer
// waits.
func (c *Client) receive(conn net.Conn) {
	reader := bufio.NewReaderSize(&progressReader{reader: conn, client: c}, readBufferBytes)
	for {
		m, err := Decode(reader)
		if err != nil {
			c.drop(conn)
			return
		}
		id, ok := responseID(m)
		if !ok {
			continue
		}
		c.mutex.Lock()
		if responses, ok := c.pending[id]; ok {
			responses <- m // does not block: the buffer holds one, and the first response removes the request
			delete(c.pending, id)
		}
		c.mutex.Unlock()
	}
}

// responseID returns the ID of the request that a message responds to; ok is false if it is no response.
func responseID(m *message.Message) (id uint64, ok bool) {
	switch {
	case m.PollResponse != nil:
		return m.PollResponse.ID, true
	case m.LoadResponse != nil:
		return m.LoadResponse.ID, true
	}
	return 0, false
}
