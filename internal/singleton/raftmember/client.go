package raftmember

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Client is an operator's access to the members of a fleet.
type Client struct {
	Fleet   string            // the fleet's name
	Members map[uint64]string // addresses by ID
}

// ErrNoLeader is the error of a request where no member leads.
var ErrNoLeader = errors.New("no member leads")

// FleetStatus is the status of all members.
type FleetStatus struct {
	HasQuorum   bool              `json:"quorum"` // a majority follows one leader
	Members     map[uint64]Status `json:"members"`
	Unreachable map[uint64]string `json:"silent,omitempty"` // by member, why it has no Status
}

// Status asks all members. It returns at the end of ctx at the latest; members that have not answered by then are
// unreachable.
func (c *Client) Status(ctx context.Context) FleetStatus {
	type result struct {
		id     uint64
		status Status
		err    error
	}
	results := make(chan result, len(c.Members))
	for id, addr := range c.Members {
		go func() { // ends by ctx; its result has a place in the channel
			status, err := memberStatus(ctx, addr)
			results <- result{id, status, err}
		}()
	}
	fleet := FleetStatus{Members: map[uint64]Status{}, Unreachable: map[uint64]string{}}
	for range c.Members {
		if r := <-results; r.err != nil {
			fleet.Unreachable[r.id] = r.err.Error()
		} else {
			fleet.Members[r.id] = r.status
		}
	}
	fleet.HasQuorum = fleet.hasQuorum(len(c.Members))
	return fleet
}

func memberStatus(ctx context.Context, addr string) (s Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err
}

func (f *FleetStatus) hasQuorum(members int) bool {
	followers := map[uint64]int{} // by leader
	for _, s := range f.Members {
		followers[s.Leader]++
	}
	for leader, n := range followers {
		if leader != 0 && n > members/2 {
			return true
		}
	}
	return false
}

// MostCurrent is the status of the member that knows most: the leader's, or that of the one that has applied most.
func (f *FleetStatus) MostCurrent() (best Status) {
	for id, s := range f.Members {
		if s.Leader == id || best.Leader != best.ID && s.Applied >= best.Applied || best.ID == 0 {
			best = s
		}
	}
	return best
}

// Release ends the lease of a role's holder.
func (c *Client) Release(ctx context.Context, role string) error {
	return c.postToLeader(ctx, "/v1/works/"+url.PathEscape(role)+"/free")
}

// SetDesiredHolder has a role go to an instance; to any if instance is empty.
func (c *Client) SetDesiredHolder(ctx context.Context, role, instance string) error {
	return c.postToLeader(ctx, "/v1/works/"+url.PathEscape(role)+"/want?who="+url.QueryEscape(instance))
}

// postToLeader sends a request to the leader. It returns ErrNoLeader where there is none.
func (c *Client) postToLeader(ctx context.Context, path string) error {
	fleet := c.Status(ctx)
	leader := fleet.MostCurrent()
	if !fleet.HasQuorum || leader.ID != leader.Leader {
		return ErrNoLeader
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Members[leader.ID]+path, nil)
	if err != nil {
		return fmt.Errorf("request to the leader: %w", err)
	}
	req.Header.Set(fleetHeader, c.Fleet)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("request to the leader: %w", err)
	}
	defer resp.Body.Close()
	if reason, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)); resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("request to the leader: %s: %s", resp.Status, bytes.TrimSpace(reason))
	}
	return nil
}
