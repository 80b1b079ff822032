package raftmember

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"pumiceline/internal/singleton"
)

const (
	clusterSize = 3
	testFleet   = "f"
	testRole    = "w"
)

var testSettings = singleton.Settings{Roles: []string{testRole}, LeaseDuration: 1e6, MaxClockDrift: 0.2}

// cluster is a fleet of three members in this process. Their disks are kept while they stop and start.
type cluster struct {
	t                *testing.T
	snapshotInterval uint64
	addrs            map[uint64]string
	dirs             map[uint64]string
	volatileDir      string // keeps the marks of the stores, as the machine does not restart
	running          map[uint64]runningMember
	proposedAtToken  singleton.FencingToken // the role's token when a desired holder was last proposed
}

// runningMember is a member whose Run was called.
type runningMember struct {
	cancel context.CancelFunc
	result chan error // of Run
}

func newCluster(t *testing.T, snapshotInterval uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, snapshotInterval: snapshotInterval, addrs: map[uint64]string{}, dirs: map[uint64]string{},
		volatileDir: t.TempDir(), running: map[uint64]runningMember{}}
	for id := uint64(1); id <= clusterSize; id++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.6.%d:0", id)) // its own address: no other connection takes the port
		if err != nil {
			t.Fatal(err)
		}
		c.addrs[id], c.dirs[id] = ln.Addr().String(), t.TempDir()
		ln.Close()
	}
	t.Cleanup(func() {
		for id := range c.running {
			c.stop(id)
		}
	})
	return c
}

// start starts a member on its disk.
func (c *cluster) start(id uint64) {
	c.t.Helper()
	c.running[id] = c.startOn(id, c.dirs[id], c.addrs[id])
}

func (c *cluster) startAll() {
	c.t.Helper()
	for id := uint64(1); id <= clusterSize; id++ {
		c.start(id)
	}
}

func (c *cluster) startOn(id uint64, dir, listen string) runningMember {
	c.t.Helper()
	return startMember(c.t, listen, c.options(id, dir))
}

func (c *cluster) options(id uint64, dir string) Options {
	return Options{Fleet: testFleet, ID: id, Members: c.addrs, Dir: dir, VolatileDir: c.volatileDir,
		SnapshotInterval: c.snapshotInterval}
}

// startMember opens a member with the settings of the tests and runs it. Without a logger its log is discarded.
func startMember(t *testing.T, listen string, opts Options) runningMember {
	t.Helper()
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	opts.Settings = testSettings
	m, err := Open(opts)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- m.Run(ctx, ln) }()
	return runningMember{cancel, result}
}

// stop stops a member and returns the result of its Run.
func (c *cluster) stop(id uint64) error {
	c.t.Helper()
	m := c.running[id]
	delete(c.running, id)
	m.cancel()
	return <-m.result
}

// copyDisk copies a member's store to a folder of its own.
func (c *cluster) copyDisk(id uint64) (dir string) {
	c.t.Helper()
	dir = c.t.TempDir()
	if out, err := exec.Command("cp", filepath.Join(c.dirs[id], storeFile), dir).CombinedOutput(); err != nil {
		c.t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// request sends a request to a member and decodes the response body into response, unless that is nil. It returns false
// if that fails or takes longer than 2 s.
func (c *cluster) request(method, addr, path string, body, response any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("X-Fleet", testFleet) // as members of earlier versions send it
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2 && (response == nil || json.NewDecoder(resp.Body).Decode(response) == nil)
}

// eventually polls until a condition holds. The bound of 30 s allows for a slow machine.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within 30 s: %s", description)
		}
	}
}

// runInstance runs the instance a, which holds the role when runInstance returns and from then on. Without a holder the
// lease manager would withdraw the desired holders that the tests set, as none of them runs.
func (c *cluster) runInstance() {
	c.t.Helper()
	held, ended := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(func() { cancel(); <-ended })
	go func() {
		defer close(ended)
		heartbeat := singleton.Heartbeat{Name: "a", Incarnation: 1}
		for steps := uint64(1); ctx.Err() == nil; steps++ {
			for _, addr := range c.addrs {
				var response singleton.HeartbeatResponse
				if !c.request("POST", addr, "/v1/beat", heartbeat, &response) {
					continue
				}
				heartbeat.Leases = nil
				for _, l := range response.Leases {
					heartbeat.Leases = append(heartbeat.Leases, singleton.LeaseReport{Role: l.Role, Token: l.Token, Steps: steps})
				}
				if len(response.Leases) > 0 && !isClosed(held) {
					close(held)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	<-held
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// setDesiredHolder makes a member propose a desired holder.
func (c *cluster) setDesiredHolder(instance string) {
	c.t.Helper()
	for id := range c.running {
		var s Status
		if c.request("GET", c.addrs[id], "/v1/status", nil, &s) {
			c.proposedAtToken = max(c.proposedAtToken, s.Assignments[testRole].Token)
			break
		}
	}
	c.eventually("a desired holder is proposed", func() bool {
		for id := range c.running {
			if c.request("POST", c.addrs[id], "/v1/works/"+testRole+"/want?who="+instance, nil, nil) {
				return true
			}
		}
		return false
	})
}

// awaitAgreement waits until all running members have applied the same index and the role has the desired holder. Where
// heartbeats are late, as beside load, the instance may have lost its lease, and the lease manager withdraws the desired
// holder: it is proposed again then. A higher token tells that from a loss of state.
func (c *cluster) awaitAgreement(desiredHolder string) (a singleton.Assignment) {
	c.t.Helper()
	c.eventually("all members agree", func() bool {
		var first Status
		for id := range c.running {
			var s Status
			if !c.request("GET", c.addrs[id], "/v1/status", nil, &s) {
				return false
			}
			if assignment := s.Assignments[testRole]; assignment.DesiredHolder == "" && assignment.Token > c.proposedAtToken {
				c.setDesiredHolder(desiredHolder)
				return false
			}
			if s.Assignments[testRole].DesiredHolder != desiredHolder ||
				s.Leader == 0 || first.ID != 0 && s.Applied != first.Applied {
				return false
			}
			first = s
		}
		a = first.Assignments[testRole]
		return true
	})
	return a
}
