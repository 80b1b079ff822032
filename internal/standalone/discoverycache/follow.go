package discoverycache

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/standalone/discovery"
)

// maxLineBytes is the length of the longest line of a watch that is read.
const maxLineBytes = 8 << 20

var errWatchEnded = errors.New("source ended the watch")

// holderUpdate is one line of a watch. Only caches set DiscoveryVersion.
type holderUpdate struct {
	discovery.Update
	DiscoveryVersion uint64 `json:"origin,omitempty"`
}

// follow watches a source. It returns nil once another source is to be followed, and an error if the watch ends or
// times out.
func (c *Cache) follow(ctx context.Context, from source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(HeartbeatTimeout, cancel)
	defer timeout.Stop()
	resp, err := openWatch(ctx, from)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for first := true; lines.Scan(); {
		timeout.Reset(HeartbeatTimeout)
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if err := c.applyLine(line, from, first); err != nil {
				return err
			}
			first = false
		} else { // a heartbeat
			c.recordContact(from)
		}
		if c.chooseSource() != from {
			return nil
		}
	}
	if lines.Err() == nil {
		return errWatchEnded
	}
	return fmt.Errorf("watch timed out or failed: %w", lines.Err())
}

// openWatch requests a source's complete list and all changes after it.
func openWatch(ctx context.Context, from source) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.address+from.path+"?stream=1&index=0", nil)
	if err != nil {
		return nil, fmt.Errorf("create watch request: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true} // each watch has its own connection
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("open watch: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("open watch: source responded %s", resp.Status)
	}
	if token, _ := strconv.ParseUint(resp.Header.Get(tokenHeader), 10, 64); token < from.token { // an invalid one counts as 0
		resp.Body.Close()
		return nil, fmt.Errorf("open watch: source has fencing token %d, want %d", token, from.token)
	}
	return resp, nil
}

// applyLine applies one line of a watch. The first line of a holder may be older than the copy, because the holder may
// be behind the source that was followed before.
func (c *Cache) applyLine(line []byte, from source, first bool) error {
	var u holderUpdate
	if err := json.Unmarshal(line, &u); err != nil {
		return fmt.Errorf("decode line of the watch: %w", err)
	}
	if !from.isDiscovery() { // another cache has its own versions
		u.Version = u.DiscoveryVersion
	}
	return c.apply(u.Update, from, first && !from.isDiscovery())
}
