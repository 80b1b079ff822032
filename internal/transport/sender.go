package transport

import (
	"net"
	"sync"
	"time"

	"pumiceline/internal/message"
)

// sendQueueLength is how many messages may be queued for a peer.
const sendQueueLength = 256

// Sender sends messages to peers, over one connection per peer that is kept open. It starts a goroutine per peer, which
// runs until the process ends. Several goroutines may use a Sender.
type Sender struct {
	handle   Handler
	receiver *receiver
	mutex    sync.Mutex
	queues   map[string]chan []byte // frames, by the peer's address
}

// NewSender makes a sender. The handler handles the messages that peers send back on their connections, and may be nil.
// Its replies are discarded.
func NewSender(handle Handler) *Sender {
	return &Sender{handle: handle, receiver: newReceiver(), queues: map[string]chan []byte{}}
}

// Send queues a message for the peer at an address. It never blocks: if the queue is full, the message is dropped. So
// is a message that cannot be encoded.
func (s *Sender) Send(address string, m *message.Message) {
	frame, err := Encode(m)
	if err != nil {
		return
	}
	select {
	case s.queueFor(address) <- frame:
	default:
	}
}

func (s *Sender) queueFor(address string) chan []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan []byte, sendQueueLength)
		s.queues[address] = queue
		go s.sendLoop(address, queue)
	}
	return queue
}

// sendLoop opens a connection whenever there is a frame to send and none is open. Frames queued for an unreachable peer
// are discarded: they would be out of date by the time the peer is reachable again.
func (s *Sender) sendLoop(address string, queue chan []byte) {
	for frame := range queue {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			time.Sleep(retryDelay)
			discardQueued(queue)
			continue
		}
		s.writeFrames(conn, frame, queue)
	}
}

// writeFrames writes first and then the queued frames until the connection breaks. A frame whose write fails is lost.
func (s *Sender) writeFrames(conn net.Conn, first []byte, queue chan []byte) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.receive(conn)
	}()
	defer conn.Close() // ends receive
	frame := first
	for {
		if err := writeFrame(conn, frame); err != nil {
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
	s.receiver.receive(conn, func(m *message.Message) {
		if s.handle != nil {
			s.handle(m, func(*message.Message) {})
		}
	})
}

func discardQueued(queue chan []byte) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
