package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Times of the scenario.
const (
	tengerlikSync     = 4 * time.Second  // syncS
	tengerlikRecovery = 12 * time.Second // recoveryS
	afterRemoval      = 500 * time.Millisecond
)

// removed replaces two of four coordinators, the new ones first: each new one has syncS before the next step. Then both
// old ones are taken away, and half a second later another coordinator loses its disk. The rule is held if the
// configuration that was acknowledged can be read.
func removed(c *cluster, trouble bool) (bool, error) {
	c.addNodes(4, 0)
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.putConfig(20*time.Second, 0, 1); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	c.noteViews()
	if trouble {
		if err := c.removeAndLose(c.coordinators[2:4:4], c.coordinators[1]); err != nil {
			return false, err
		}
	}
	time.Sleep(tengerlikRecovery)
	c.noteViews()
	read := c.callUntilClear(25*time.Second, "GET", "/config", "", "")
	return read.status == 200 && strings.Contains(string(read.body), `"version":1`), nil
}

// removeAndLose replaces coordinators by new ones of their zones, and then the disk of another one is lost.
func (c *cluster) removeAndLose(replaced []*node, loser *node) error {
	var added []*node
	for i, old := range replaced {
		name := fmt.Sprintf("coordinator-%d", 4+i)
		n := &node{name: name, ip: nodeIP(4 + i), zone: old.zone, program: old.program, state: filepath.Join(c.dir, name)}
		if err := c.startNode(n, false); err != nil {
			return err
		}
		added = append(added, n)
		time.Sleep(tengerlikSync + 100*time.Millisecond)
	}
	c.coordinators = append(c.coordinators, added...)
	c.noteViews()
	for _, old := range replaced {
		c.kill(old)
		c.note("%s is gone for good", old.name)
	}
	c.coordinators = append(c.coordinators[:2:2], added...) // no caller is told the old addresses any more
	time.Sleep(afterRemoval)
	return c.loseDisks([]*node{loser})
}
