package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// trailing sends a configuration with a closing bracket too many, and then a valid change on top of whatever is in force.
func trailing(c *cluster, trouble bool) (bool, error) {
	c.addNodes(4, 0)
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.putConfig(20*time.Second, 0, 1); err != nil {
		return false, err
	}
	held := true
	inForce := 1
	if trouble {
		put := c.callUntilClear(4*time.Second, "PUT", "/config", "1", fmt.Sprintf(smallConfig, 3)+"}")
		if put.status == 200 {
			c.note("BROKEN: an invalid configuration is acknowledged")
			held, inForce = false, 3
		}
	}
	read := c.callUntilClear(4*time.Second, "GET", "/config", "", "")
	if read.status != 200 || !json.Valid(read.body) {
		c.note("BROKEN: what is read back is no JSON document")
		held = false
	}
	patch := c.callUntilClear(4*time.Second, "PATCH", "/config", fmt.Sprint(inForce), `{"version":5,"add":{"routes":[]}}`)
	if patch.status != 200 {
		c.note("a valid change on top of it is refused with %d", patch.status)
		held = false
	}
	return held, nil
}
