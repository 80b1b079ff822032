package backend

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPool_HasIdleUntilExpiration(t *testing.T) {
	pool := NewPool(MaxDialTimeout)
	assert.False(t, pool.HasIdle("b"))
	client, server := net.Pipe()
	defer server.Close()
	pool.release("b", &conn{Conn: client}, time.Hour)
	assert.True(t, pool.HasIdle("b"))
	assert.False(t, pool.HasIdle("c"))
	pool.release("b", &conn{Conn: client}, -time.Second)
	assert.False(t, pool.HasIdle("b"), "the newest connection has expired")
	pool.CloseIdle("b")
	assert.False(t, pool.HasIdle("b"))
}
