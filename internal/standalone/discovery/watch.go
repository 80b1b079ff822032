package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/standalone/policy"
)

const (
	// heartbeatTimeout is how long a watch may receive neither a complete message nor a heartbeat. Discovery sends a
	// heartbeat at least every 2 s. A partition leaves the connection open, so that only this timeout detects it. The
	// platform allows 6 s from the last byte of a watch until the updates that it missed are received: this timeout,
	// the policy's delay before the next call, and the call have to fit into that.
	heartbeatTimeout = 2600 * time.Millisecond
	// dialTimeout allows for one lost SYN, which TCP sends again after a second.
	dialTimeout = 1500 * time.Millisecond
)

var errWatchStopped = errors.New("discovery watch stopped")

// watch runs one watch until it ends and returns the reason, never nil. An error that wraps os.ErrDeadlineExceeded
// means that the connection, the response or a heartbeat did not arrive in time.
func (w *Watcher) watch(ctx context.Context) error {
	conn, err := w.dial(ctx, w.source.Address, time.Now().Add(dialTimeout))
	if err != nil {
		return fmt.Errorf("connect to discovery: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	resp, err := w.openStream(ctx, conn)
	if err != nil {
		return err
	}
	// The body is never closed: Close would read to the end of the body, which arrives only when discovery stops.
	return w.readStream(ctx, conn, newMessageReader(resp.Body))
}

// openStream requests the changes since w.version. It sets a deadline on conn, by which the response's head must
// arrive.
func (w *Watcher) openStream(ctx context.Context, conn net.Conn) (*http.Response, error) {
	url := "http://" + w.source.Address + "/v1/endpoints?stream=1&index=" + strconv.FormatUint(w.version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create discovery request: %w", err)
	}
	if err := conn.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
		return nil, fmt.Errorf("set discovery deadline: %w", err)
	}
	if err := req.Write(conn); err != nil {
		return nil, fmt.Errorf("send discovery request: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, fmt.Errorf("read discovery response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery responded %s", resp.Status)
	}
	return resp, nil
}

// readStream applies the messages of a watch until it fails.
func (w *Watcher) readStream(ctx context.Context, conn net.Conn, messages *messageReader) error {
	for first := true; ; first = false {
		// The deadline applies to a complete message: single bytes of a message do not extend it.
		if err := conn.SetReadDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return fmt.Errorf("set discovery deadline: %w", err)
		}
		message, err := messages.next()
		if err != nil {
			return fmt.Errorf("read discovery watch: %w", err)
		}
		if ctx.Err() != nil {
			return errWatchStopped
		}
		w.sourceUnconfirmed.Store(false)
		if len(message) == 0 {
			if first { // nothing has changed, but the policy waits for a response to its call
				w.policy.UpdateMembers(policy.MembershipDelta, nil)
				w.hasSynced.Store(true)
			}
			continue
		}
		if err := w.apply(message, false); err != nil {
			// The next message has only later changes. The changes in this message, perhaps a drain, would never be applied.
			// So the watch ends, and the next watch requests the complete list.
			w.version = 0
			return fmt.Errorf("apply discovery update: %w", err)
		}
		w.hasSynced.Store(true)
	}
}

// apply applies an update to the list and publishes it: to the backend pool first, so that attempts that have not been
// sent yet do not go to a draining backend. cached means that the update is the list in the configuration, which may be
// outdated.
func (w *Watcher) apply(message []byte, cached bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	update, err := w.decoder.Decode(message)
	if err != nil {
		return err
	}
	endpoints := append(update.Endpoints, w.drainInvalid(update.Invalid)...)
	members := make([]policy.Member, len(endpoints))
	for i := range endpoints {
		members[i] = w.applyEndpoint(&endpoints[i])
	}
	if update.Complete {
		w.removeMissing(members)
	}
	w.version = update.Version
	w.endpointCount.Store(int64(len(w.endpoints)))
	w.policy.UpdateMembers(membershipKind(update.Complete, cached), members)
	if len(w.endpoints) > 0 || update.Complete && !cached {
		w.hasEndpoints.Store(true)
	}
	return nil
}

// membershipKind returns the policy's event for an update.
func membershipKind(complete, cached bool) policy.EventKind {
	switch {
	case cached:
		return policy.MembershipCached
	case complete:
		return policy.MembershipFull
	default:
		return policy.MembershipDelta
	}
}

// drainInvalid returns the listed endpoints that have invalid entries, as draining. An invalid entry may have announced
// a drain, so the backend gets no new requests until its entry is valid again. Endpoints that are not listed are left
// out.
func (w *Watcher) drainInvalid(invalid []*EntryError) []Endpoint {
	var draining []Endpoint
	for _, entryErr := range invalid {
		id, known := w.decoder.ids[entryErr.Name]
		listed, isListed := w.endpoints[id]
		w.log.Warn("endpoint entry invalid", "error", entryErr, "known", known && isListed)
		if !known || !isListed {
			continue
		}
		listed.Endpoint.Member.Mode = policy.ModeDraining
		draining = append(draining, listed.Endpoint)
	}
	return draining
}

// applyEndpoint adds, updates or removes one endpoint of the list, and returns the member to publish to the policy.
func (w *Watcher) applyEndpoint(e *Endpoint) policy.Member {
	if e.Member.Mode != policy.ModeGone {
		w.maintenance.Observe(e.Name, e.Member.StartedAt)
	}
	member := w.maintenance.Apply(e.Name, e.Member)
	w.endpoints[member.Server] = listedEndpoint{Endpoint: *e, published: member}
	w.backends.SetBackend(member.Server, e.Address, member.Mode == policy.ModeReady)
	if member.Mode == policy.ModeGone {
		w.remove(member.Server)
	}
	return member
}

// removeMissing removes the listed endpoints that are missing in a complete update.
func (w *Watcher) removeMissing(members []policy.Member) {
	present := make(map[policy.ServerID]bool, len(members))
	for _, m := range members {
		present[m.Server] = m.Mode != policy.ModeGone
	}
	for id := range w.endpoints {
		if !present[id] {
			w.backends.SetBackend(id, "", false)
			w.remove(id)
		}
	}
}

// remove removes an endpoint and its ID. Each deployment adds new names, so memory would grow if old names were kept.
// An endpoint that is listed again gets the same ID, unless its hash is also that of another name.
func (w *Watcher) remove(id policy.ServerID) {
	delete(w.endpoints, id)
	w.decoder.removeID(id)
}
