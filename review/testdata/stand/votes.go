package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Times of the scenario, from the start of the freeze. Each step is within the tolerance of two machines.
const (
	adalatSync     = 6 * time.Second  // syncS
	adalatRecovery = 15 * time.Second // recoveryS

	frozenFor  = 3500 * time.Millisecond
	newStarts  = 500 * time.Millisecond
	oldIsGone  = newStarts + adalatSync + 100*time.Millisecond // the new machine has had syncS
	disksLost  = frozenFor + adalatSync + 200*time.Millisecond // the frozen machine has had syncS too
	disksAreIn = time.Second                                   // from the loss of the disks to the start on empty ones
)

// smallConfig is a configuration with a version.
const smallConfig = `{"version":%d,"routes":[{"name":"r-1","host":"review.example","pathStart":"/a/","kind":"changing",` +
	`"timeoutMs":1500,"targetMs":300,"priority":2,"service":"docs","tries":1}],` +
	`"services":[{"name":"docs","healthPath":"/health","maxConns":130}]}`

// votes replaces a coordinator by a new one while another coordinator of its zone is frozen. When the frozen and the new
// one have had syncS since, two others lose their disks right after an acknowledgement, as many as the tolerance allows.
// The rule is held if the configuration that was acknowledged last can be read.
func votes(c *cluster, trouble bool) (bool, error) {
	c.sheet = adalat
	c.addNodes(5, 0) // four zones: the first and the last coordinator are of the same one
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.putConfig(20*time.Second, 0, 1); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	c.noteViews()
	frozen, replaced, losers := c.coordinators[0], c.coordinators[4], c.coordinators[1:3]
	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	if trouble {
		if err := c.replaceWhileFrozen(frozen, replaced, until); err != nil {
			return false, err
		}
	}
	until(disksLost)
	c.noteViews()
	if err := c.putConfig(5*time.Second, 1, 3); err != nil {
		return false, err
	}
	if trouble {
		if err := c.loseDisks(losers); err != nil {
			return false, err
		}
	}
	time.Sleep(adalatRecovery)
	c.noteViews()
	read := c.callUntilClear(25*time.Second, "GET", "/config", "", "")
	return read.status == 200 && strings.Contains(string(read.body), `"version":3`), nil
}

// replaceWhileFrozen freezes a coordinator, adds a new one in the zone of another, and takes that other one away for
// good once the new one has had syncS.
func (c *cluster) replaceWhileFrozen(frozen, replaced *node, until func(time.Duration)) error {
	c.signal(frozen, syscall.SIGSTOP, "SIGSTOP")
	until(newStarts)
	added := &node{
		name: "coordinator-5", ip: nodeIP(5), zone: replaced.zone, program: replaced.program,
		state: filepath.Join(c.dir, "coordinator-5"),
	}
	if err := c.startNode(added, false); err != nil {
		return err
	}
	c.coordinators = append(c.coordinators, added)
	until(frozenFor)
	c.signal(frozen, syscall.SIGCONT, "SIGCONT")
	until(oldIsGone)
	c.noteViews()
	c.kill(replaced)
	c.note("%s is gone for good", replaced.name)
	c.coordinators = append(c.coordinators[:4:4], added) // no caller is told its address any more
	return nil
}

// loseDisks kills coordinators at the same time and starts them again with empty disks.
func (c *cluster) loseDisks(losers []*node) error {
	for _, n := range losers {
		c.kill(n)
		if err := c.wipe(n); err != nil {
			return err
		}
	}
	time.Sleep(disksAreIn)
	for _, n := range losers {
		if err := c.startNode(n, false); err != nil {
			return err
		}
	}
	return nil
}

// putConfig sends a configuration until it is acknowledged.
func (c *cluster) putConfig(within time.Duration, base, version int) error {
	put := c.callUntilClear(within, "PUT", "/config", fmt.Sprint(base), fmt.Sprintf(smallConfig, version))
	if put.status != 200 {
		return fmt.Errorf("version %d was answered with %d", version, put.status)
	}
	return nil
}

// noteViews records each coordinator's view.
func (c *cluster) noteViews() {
	for _, n := range c.coordinators {
		if s, ok := c.statusOf(n); ok {
			c.note("  %s: view %d, member %v, members %v, voters %v", n.name, s.View, s.IsMember, s.Members, s.Voters)
		} else {
			c.note("  %s: no status", n.name)
		}
	}
}
