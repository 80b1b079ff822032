package coordinator

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// shownConfig is what operators are shown of the stored configuration. The shown text differs from the stored one for a
// document that an earlier version put in force and that is not valid any more: its canonical text is shown under the
// same version, until the next change replaces it.
type shownConfig struct {
	text   []byte // the answer to GET /config; nil: no configuration has been taken
	digest string // of the stored text, in hexadecimal; equal wherever that configuration is in force
	fault  string // why the stored text would not be accepted now; empty: it would
}

// shownConfigs makes the shown form of stored configurations, and keeps the newest. It is safe for concurrent use.
type shownConfigs struct {
	mutex  sync.Mutex
	hash   [sha256.Size]byte // of the stored text that newest is made from
	newest shownConfig
}

// of returns the shown form of a stored configuration.
func (s *shownConfigs) of(stored []byte) shownConfig {
	if len(stored) == 0 {
		return shownConfig{}
	}
	hash := sha256.Sum256(stored)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.newest.text == nil || s.hash != hash {
		s.hash, s.newest = hash, newShownConfig(stored)
	}
	return s.newest
}

// newShownConfig makes the shown form of a stored configuration. A text that cannot be read at all is shown as it is.
func newShownConfig(stored []byte) shownConfig {
	shown := shownConfig{digest: hex.EncodeToString(message.DocumentDigest(stored)), fault: storedFault(stored)}
	text, err := configuration.CanonicalText(stored)
	if err != nil {
		logrus.WithError(err).Error("the configuration in force cannot be read; it is shown as it is stored")
		text = stored
	}
	shown.text = text
	return shown
}

// storedFault returns why a stored configuration would not be accepted now; empty: it would, or there is none.
func storedFault(stored []byte) string {
	if len(stored) == 0 {
		return ""
	}
	if _, err := configuration.NewDocument(stored); err != nil {
		return err.Error()
	}
	return ""
}
