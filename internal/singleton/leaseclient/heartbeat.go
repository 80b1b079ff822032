package leaseclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"pumiceline/internal/singleton"
	"pumiceline/internal/strictjson"
)

const maxResponseBytes = 1 << 20

// sendHeartbeats sends heartbeats until stop ends, and then until this instance holds no lease, for drainLeases at
// most. The requests themselves use running: a request that is in flight when stop ends has to complete, as it may
// renew a lease.
func (c *Client) sendHeartbeats(stop, running context.Context) {
	ticker := time.NewTicker(c.lease / heartbeatsPerLease)
	defer ticker.Stop()
	var deadline time.Time // set once stop has ended
	for i := 0; ; i++ {
		if !c.holdsNoLease() || stop.Err() != nil || i%idleHeartbeatInterval == 0 {
			c.sendHeartbeat(running)
		}
		if stop.Err() != nil {
			if deadline.IsZero() {
				deadline = time.Now().Add(drainLeases * c.lease)
			}
			if c.holdsNoLease() || time.Now().After(deadline) {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-c.heartbeatDue:
		}
	}
}

// requestHeartbeat makes sendHeartbeats send a heartbeat at once. It does not block.
func (c *Client) requestHeartbeat() {
	select {
	case c.heartbeatDue <- struct{}{}:
	default:
	}
}

// sendHeartbeat sends a heartbeat to the member that is assumed to lead and processes its response. After a failure the
// next heartbeat goes to the leader that the member named, or to the member with the next ID.
func (c *Client) sendHeartbeat(ctx context.Context) {
	c.mu.Lock()
	sentAt := c.now()
	heartbeat := c.holder.Heartbeat()
	heartbeat.Addr, heartbeat.Roles = c.opts.Addr, slices.Sorted(maps.Keys(c.opts.Steps))
	index, member := c.leaderIndex, c.opts.Members[c.memberIDs[c.leaderIndex]]
	c.mu.Unlock()
	text, err := json.Marshal(heartbeat)
	if err != nil {
		c.opts.Log.Error("heartbeat not encoded", "error", err)
		return
	}
	reply, err := c.postHeartbeat(ctx, member, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.opts.Log.Debug("heartbeat failed", "member", member, "error", err)
		if c.leaderIndex = slices.Index(c.memberIDs, reply.leader); c.leaderIndex < 0 { // it named no known member
			c.leaderIndex = (index + 1) % len(c.memberIDs)
		}
		return
	}
	c.handleResponse(sentAt, reply.response)
}

// handleResponse processes the response to the heartbeat that was sent at sentAt. The caller holds c.mu.
func (c *Client) handleResponse(sentAt singleton.Time, response singleton.HeartbeatResponse) {
	if response.Reason != c.rejectionReason && response.Reason != "" {
		c.opts.Log.Warn("instance is granted nothing", "instance", c.opts.Name, "reason", response.Reason)
	}
	c.rejectionReason, c.holders = response.Reason, response.Holders
	before := c.holder.ActiveLeases(sentAt)
	c.holder.HandleResponse(sentAt, response)
	for role, token := range c.holder.ActiveLeases(c.now()) {
		if before[role] != token {
			c.opts.Log.Info("lease acquired", "instance", c.opts.Name, "role", role, "token", token)
		}
	}
}

// heartbeatReply is a member's reply to a heartbeat.
type heartbeatReply struct {
	response singleton.HeartbeatResponse
	leader   uint64 // from a member that does not lead: the leader's ID; 0: the member knows none
}

// postHeartbeat sends an encoded heartbeat to a member.
func (c *Client) postHeartbeat(ctx context.Context, member string, text []byte) (reply heartbeatReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.lease/heartbeatTimeoutsPerLease)
	defer cancel()
	url := "http://" + member + singleton.HeartbeatPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return reply, fmt.Errorf("heartbeat to %s: %w", member, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(singleton.FleetHeader, c.opts.Fleet)
	resp, err := c.http.Do(req)
	if err != nil {
		return reply, fmt.Errorf("heartbeat to %s: %w", member, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reply.leader, _ = strconv.ParseUint(resp.Header.Get(singleton.LeaderHeader), 10, 64) // 0 if not a number
		return reply, fmt.Errorf("heartbeat to %s: status %s", member, resp.Status)
	}
	if err := strictjson.Decode(resp.Body, maxResponseBytes, &reply.response); err != nil {
		return reply, fmt.Errorf("response of %s: %w", member, err)
	}
	return reply, nil
}
