package coordinator

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

// InternalAddress returns the address where the coordinator of a machine listens for other processes of the system.
func InternalAddress(ip string, firstPort int) string {
	return net.JoinHostPort(ip, strconv.Itoa(firstPort))
}

// SeedAddresses returns the internal addresses of the seeds, for which the settings have the control addresses. All
// machines use the same first port.
func SeedAddresses(settings *bootstrap.Settings) []string {
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			logrus.WithField(logkey.Seed, seed).Warn("invalid seed address")
			continue
		}
		addresses = append(addresses, InternalAddress(host, settings.FirstPort))
	}
	return addresses
}

// newIncarnation draws the number from which this process counts its request IDs, so that no response to an earlier
// process of the machine matches one of them. It is random and not taken from the clock, as the clock may have been
// set back.
func newIncarnation() uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		logrus.WithError(err).Warn("cannot draw a random incarnation: responses to an earlier process may match")
	}
	return binary.BigEndian.Uint64(random[:]) >> 1 // leaves room to count up without an overflow
}

// newIdentity draws an identity that no earlier process has had.
func newIdentity(node string) message.MemberID {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return message.MemberID(node + "-" + strconv.FormatInt(time.Now().UnixNano(), 36))
	}
	return message.MemberID(node + "-" + hex.EncodeToString(random[:]))
}
