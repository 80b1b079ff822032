package leaseclient

import (
	"context"
	"time"

	"pumiceline/internal/singleton"
)

// runRole runs the steps of a role one after another while its lease is held, until ctx ends.
func (c *Client) runRole(ctx context.Context, role string, step Step) {
	ticker := time.NewTicker(c.lease / stepsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.beginStep(role) {
			c.runStep(ctx, role, step)
		}
	}
}

func (c *Client) beginStep(role string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.BeginStep(c.now(), role)
}

// runStep runs a step that has begun. It limits the step to a lease duration: by then its lease has expired.
func (c *Client) runStep(ctx context.Context, role string, step Step) {
	ctx, cancel := context.WithTimeout(ctx, c.lease)
	defer cancel()
	err := step(ctx, c.performer(role))
	stillHeld := c.endStep(role, err == nil)
	if err != nil {
		c.opts.Log.Warn("step failed", "instance", c.opts.Name, "role", role, "error", err)
	}
	if !stillHeld {
		c.requestHeartbeat() // the lease is released or lost: the next holder does not have to wait until it expires
	}
}

func (c *Client) endStep(role string, completed bool) (stillHeld bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.EndStep(role, completed)
	_, stillHeld = c.holder.ActiveLeases(c.now())[role]
	return stillHeld
}

// performer returns the Perform of a role's step. The lease may still end between the check here and the arrival of the
// effect: then the receiver's FencingGuard rejects the effect.
func (c *Client) performer(role string) Perform {
	return func(do func(singleton.Effect) error) error {
		c.mu.Lock()
		effect, held := c.holder.NextEffect(c.now(), role)
		c.mu.Unlock()
		if !held {
			return ErrLeaseLost
		}
		return do(effect)
	}
}
