package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Handler handles a message. It may call reply, at any time and from any goroutine, to send a message back on the same
// connection; the reply is lost if the connection has broken. The messages of one connection are handled one at a time.
type Handler func(m *message.Message, reply func(*message.Message))

// Serve accepts connections until the listener is closed. Open connections stay until the peer closes them.
func Serve(listener net.Listener, handle Handler) {
	r := newReceiver()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example too many open files
			time.Sleep(retryDelay)
			continue
		}
		go serveConn(conn, r, handle)
	}
}

func serveConn(conn net.Conn, r *receiver, handle Handler) {
	defer conn.Close()
	replies := &replyWriter{conn: conn}
	r.receive(conn, func(m *message.Message) { handle(m, replies.write) })
}

// maxWaitingReplies is how many replies may wait for one connection. A peer with more does not read them.
const maxWaitingReplies = 64

// replyWriter writes replies to one connection, one at a time. It is safe for concurrent use.
type replyWriter struct {
	conn     net.Conn
	waiting  atomic.Int64
	isClosed atomic.Bool
	writing  sync.Mutex
}

// write encodes and writes a reply. It encodes only when it is the reply's turn, so that a connection has one frame at
// most. It closes the connection if the write fails, or if too many replies wait.
func (w *replyWriter) write(m *message.Message) {
	if w.waiting.Add(1) > maxWaitingReplies {
		w.close()
	}
	defer w.waiting.Add(-1)
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.isClosed.Load() {
		return
	}
	frame, err := Encode(m)
	if err != nil {
		return
	}
	if err := writeFrame(w.conn, frame); err != nil {
		w.close()
	}
}

func (w *replyWriter) close() {
	w.isClosed.Store(true)
	w.conn.Close()
}
