package transport

import (
	"net"
	"sync"
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
	var writing sync.Mutex
	reply := func(m *message.Message) {
		frame, err := Encode(m)
		if err != nil {
			return
		}
		writing.Lock()
		defer writing.Unlock()
		if err := writeFrame(conn, frame); err != nil {
			conn.Close()
		}
	}
	r.receive(conn, func(m *message.Message) { handle(m, reply) })
}
