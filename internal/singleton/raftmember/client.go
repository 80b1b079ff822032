package raftmember

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Fleet is what the members say.
type Fleet struct {
	Quorum  bool              `json:"quorum"` // a majority follows one leader
	Members map[uint64]Status `json:"members"`
	Silent  map[uint64]string `json:"silent,omitempty"` // by member, why nothing is known of it
}

// Ask asks all members, by number at their addresses, how they are. It is over by a moment.
func Ask(by time.Time, members map[uint64]string) Fleet {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	type said struct {
		id  uint64
		s   Status
		err error
	}
	all := make(chan said, len(members))
	for id, addr := range members {
		go func() {
			one := said{id: id}
			var resp *http.Response
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
			if err == nil {
				resp, err = http.DefaultClient.Do(req)
			}
			if err == nil {
				err = json.NewDecoder(resp.Body).Decode(&one.s)
				resp.Body.Close()
			}
			one.err = err
			all <- one
		}()
	}
	out, follow := Fleet{Members: map[uint64]Status{}, Silent: map[uint64]string{}}, map[uint64]int{}
	for range members {
		if one := <-all; one.err != nil {
			out.Silent[one.id] = one.err.Error()
		} else {
			out.Members[one.id] = one.s
			follow[one.s.Leader]++
		}
	}
	for leader, n := range follow {
		out.Quorum = out.Quorum || leader != 0 && n > len(members)/2
	}
	return out
}

// Latest is the status of the member that knows most: the leader's, or that of who has applied most.
func (f *Fleet) Latest() (best Status) {
	for id, s := range f.Members {
		if s.Leader == id || best.Leader != best.ID && s.Applied >= best.Applied || best.ID == 0 {
			best = s
		}
	}
	return best
}

// Tell asks the leader of a fleet to do something: POST to a path of its. It is over by a moment.
func Tell(by time.Time, fleet string, members map[uint64]string, path string) error {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	s := Ask(by, members)
	if leader := s.Latest(); s.Quorum && leader.ID == leader.Leader {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+members[leader.ID]+path, nil)
		if err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		req.Header.Set("X-Fleet", fleet)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		defer resp.Body.Close()
		if why, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)); resp.StatusCode != http.StatusAccepted {
			return fmt.Errorf("quorum: %s: %s", resp.Status, bytes.TrimSpace(why))
		}
		return nil
	}
	return errors.New("quorum: no member leads")
}
