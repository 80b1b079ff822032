package faulttest

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// receiveDatagram returns the next datagram and its sender; "" if none arrives within 300 ms.
func receiveDatagram(conn *net.UDPConn) (text string, sender *net.UDPAddr) {
	buffer := make([]byte, 99)
	conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	n, sender, _ := conn.ReadFromUDP(buffer)
	return string(buffer[:max(0, n)]), sender
}

// relayDatagrams sends 30 datagrams through a relay that loses and duplicates some, and one datagram that is held until
// Heal. It returns the datagrams that the target received, followed by the target's response as the sender received it.
func relayDatagrams(t *testing.T, target *net.UDPConn, seed uint64) (received string) {
	t.Helper()
	h := New()
	defer h.Close()
	r, err := h.StartDatagramRelay("datagrams", target.LocalAddr().String(), seed)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialUDP("udp", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r.Set(Upstream, Fault{Drop: 0.3, Duplicate: 0.3})
	for n := range 30 {
		fmt.Fprint(conn, n, " ")
		time.Sleep(time.Millisecond) // so that the kernel's buffers drop none
	}
	r.Set(Upstream, Fault{Hold: true})
	fmt.Fprint(conn, "held")
	for text, _ := receiveDatagram(target); text != ""; text, _ = receiveDatagram(target) {
		received += text
	}
	r.Heal()
	text, sender := receiveDatagram(target)
	target.WriteToUDP([]byte("response"), sender)
	response, _ := receiveDatagram(conn)
	return received + text + response
}

// The seed determines which datagrams are lost and duplicated. Held datagrams are delivered after Heal, and responses
// reach the sender.
func TestDatagramRelay_Faults(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	first, again, other := relayDatagrams(t, target, 1), relayDatagrams(t, target, 1), relayDatagrams(t, target, 2)
	if first != again || first == other {
		t.Errorf("%q, then %q; with another seed %q", first, again, other)
	}
	if !strings.HasSuffix(first, "heldresponse") || strings.Contains(first, "0 1 2 3 4 5 6 7 8 9 10") {
		t.Errorf("%q", first)
	}
}
