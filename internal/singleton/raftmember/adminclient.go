package raftmember

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"pumiceline/internal/singleton"
	"pumiceline/internal/strictjson"
)

// Bounds of responses.
const (
	maxReasonBytes = 1 << 10 // of the leader's error message
	maxStatusBytes = 1 << 20
)

// AdminClient sends an operator's requests to the members of a fleet.
type AdminClient struct {
	Fleet   string            // the fleet's name
	Members map[uint64]string // addresses by ID
}

// ErrNoLeader is the error of a request when no member leads.
var ErrNoLeader = errors.New("no member leads")

// FleetStatus is the status of all members.
type FleetStatus struct {
	HasQuorum   bool              `json:"quorum"` // a majority follows one leader
	Members     map[uint64]Status `json:"members"`
	Unreachable map[uint64]string `json:"silent,omitempty"` // by member, the error of its status request
}

// Status requests the status of all members at once. It returns at the end of ctx at the latest; members that have not
// responded by then count as unreachable.
func (c *AdminClient) Status(ctx context.Context) FleetStatus {
	type result struct {
		id     uint64
		status Status
		err    error
	}
	results := make(chan result, len(c.Members))
	for id, addr := range c.Members {
		go func() { // ends with ctx at the latest; the channel has room for its result
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+statusPath, nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	err = strictjson.Decode(resp.Body, maxStatusBytes, &s)
	return s, err
}

// hasQuorum reports whether more than half of the fleet's members follow one leader.
func (f *FleetStatus) hasQuorum(members int) bool {
	followers := map[uint64]int{} // by leader
	for _, s := range f.Members {
		followers[s.Leader]++
	}
	for leader, count := range followers {
		if leader != 0 && count > members/2 {
			return true
		}
	}
	return false
}

// MostCurrent returns the status of a member that considers itself the leader. If there is none it returns that of the
// member that has applied the most entries, or zero if no member responded.
func (f *FleetStatus) MostCurrent() (best Status) {
	for id, s := range f.Members {
		if s.Leader == id {
			return s
		}
		if best.ID == 0 || s.Applied >= best.Applied {
			best = s
		}
	}
	return best
}

// Release ends the lease of a role's holder.
func (c *AdminClient) Release(ctx context.Context, role string) error {
	return c.postToLeader(ctx, rolesPath+url.PathEscape(role)+releaseSuffix)
}

// SetDesiredHolder makes a role go to an instance once the current holder has completed its step. An empty instance
// withdraws that.
func (c *AdminClient) SetDesiredHolder(ctx context.Context, role, instance string) error {
	query := "?" + instanceQuery + "=" + url.QueryEscape(instance)
	return c.postToLeader(ctx, rolesPath+url.PathEscape(role)+desiredHolderSuffix+query)
}

// postToLeader sends a request to the leader. It returns ErrNoLeader if there is none.
func (c *AdminClient) postToLeader(ctx context.Context, path string) error {
	fleet := c.Status(ctx)
	leader := fleet.MostCurrent()
	if !fleet.HasQuorum || leader.ID != leader.Leader {
		return ErrNoLeader
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Members[leader.ID]+path, nil)
	if err != nil {
		return fmt.Errorf("request to the leader: %w", err)
	}
	req.Header.Set(singleton.FleetHeader, c.Fleet)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("request to the leader: %w", err)
	}
	defer resp.Body.Close()
	if reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes)); resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("request to the leader: %s: %s", resp.Status, bytes.TrimSpace(reason))
	}
	return nil
}
