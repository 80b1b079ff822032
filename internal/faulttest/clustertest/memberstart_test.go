package clustertest

import (
	"os"
	"testing"
	"time"
)

const (
	killsDuringStart    = 40                   // kills of one member, each later in its start than the one before
	killDuringStartStep = 2 * time.Millisecond // between the moments of two kills
)

// A member that is killed at any moment of its start, again and again, takes part once it is left running, although
// another member is down. Guards against a mark of its store that a kill leaves unreadable: the member would then wait
// for all others.
func TestCluster_MemberKilledDuringStart(t *testing.T) {
	c := startCluster(t, 1, time.Second, false)
	const killed, down = 1, 0
	eventually(t, c, "the member marks its store", func() bool {
		marks, err := os.ReadDir(c.volatileDir(killed))
		return err == nil && len(marks) > 0
	})
	c.processes[memberName(down)].Kill()
	for i := range killsDuringStart {
		c.processes[memberName(killed)].Kill()
		if err := c.startMember(killed); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i) * killDuringStartStep) // the moment of the kill is the fault that is injected
	}
	awaitRoleHeldByQuorum(t, c)
	c.checkNoViolations(t)
}
