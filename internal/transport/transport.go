// Package transport carries messages between the processes of the system over TCP. A frame is a length of four bytes
// and a message. Messages may be lost, never changed: whoever needs an answer asks again.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"pumiceline/internal/message"
)

// Limits and times of connections.
const (
	maxFrame     = 16 << 20
	queueLength  = 256
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = 1500 * time.Millisecond
	userTimeout  = 1500 * time.Millisecond // unacknowledged bytes end a connection after so long
	redialAfter  = 100 * time.Millisecond
)

// dialer opens connections that notice a silent peer.
var dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where the option is refused, writing still has its deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Handler takes a message; reply sends one back on the connection that it came on.
type Handler func(m *message.Message, reply func(*message.Message))

// Serve takes connections from listener until it is closed.
func Serve(listener net.Listener, handle Handler) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialAfter)
			continue
		}
		go serveConn(conn, handle)
	}
}

func serveConn(conn net.Conn, handle Handler) {
	defer conn.Close()
	var writing sync.Mutex
	reply := func(m *message.Message) {
		frame, err := Encode(m)
		if err != nil {
			return
		}
		writing.Lock()
		defer writing.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // writing reports what matters
		if _, err := conn.Write(frame); err != nil {
			conn.Close()
		}
	}
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		m, err := Decode(reader)
		if err != nil {
			return
		}
		handle(m, reply)
	}
}

// Encode makes the frame of a message.
func Encode(m *message.Message) ([]byte, error) {
	frame := make([]byte, 4, 256)
	frame, err := m.MarshalMsg(frame)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a message")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame, nil
}

// Decode reads one frame.
func Decode(reader io.Reader) (*message.Message, error) {
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrame {
		return nil, errors.Errorf("a frame of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	m := &message.Message{}
	if _, err := m.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "decoding a message")
	}
	return m, nil
}

// Sender sends messages to peers, each over one connection that is kept open. What comes back is given to the handler.
type Sender struct {
	handle Handler
	mutex  sync.Mutex
	peers  map[string]chan []byte
}

// NewSender makes a sender; handle takes what peers send back, and may be nil.
func NewSender(handle Handler) *Sender {
	return &Sender{handle: handle, peers: map[string]chan []byte{}}
}

// Send queues a message for the peer at address. It never waits: where the queue is full the message is lost.
func (s *Sender) Send(address string, m *message.Message) {
	frame, err := Encode(m)
	if err != nil {
		return
	}
	s.mutex.Lock()
	queue, ok := s.peers[address]
	if !ok {
		queue = make(chan []byte, queueLength)
		s.peers[address] = queue
		go s.run(address, queue)
	}
	s.mutex.Unlock()
	select {
	case queue <- frame:
	default:
	}
}

func (s *Sender) run(address string, queue chan []byte) {
	for frame := range queue {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			time.Sleep(redialAfter)
			drain(queue)
			continue
		}
		s.pump(conn, frame, queue)
	}
}

// pump writes frames until the connection breaks.
func (s *Sender) pump(conn net.Conn, frame []byte, queue chan []byte) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.receive(conn)
	}()
	defer conn.Close()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // writing reports what matters
		if _, err := conn.Write(frame); err != nil {
			return
		}
		select {
		case frame = <-queue:
		case <-closed:
			return
		}
	}
}

func (s *Sender) receive(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		m, err := Decode(reader)
		if err != nil {
			return
		}
		if s.handle != nil {
			s.handle(m, func(*message.Message) {})
		}
	}
}

func drain(queue chan []byte) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
