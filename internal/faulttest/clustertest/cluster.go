// Package clustertest tests singleton roles with real processes: members, instances and a recorder of effects, a relay
// between any two of them, faults drawn from a seed, and a checker of the effects that were accepted.
package clustertest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
	"pumiceline/internal/singleton/raftmember"
)

// cluster is members, instances and a recorder on loopback. All but the recorder are processes of the built program. What
// one process sends to another passes a relay.
type cluster struct {
	*faulttest.Harness
	program      string // path of the built program
	dir          string
	lease        time.Duration
	roles        []string
	memberAddrs  []string // their own, behind the relays
	relays       map[string]*faulttest.Relay
	processes    map[string]*faulttest.Process
	clockRates   map[string]float64 // of instances; absent: 1
	recorder     *fakestandalone.Recorder
	server       *http.Server // of the recorder
	recorderAddr string
}

// clusterOptions are what a cluster is made of.
type clusterOptions struct {
	program  string
	members  int
	lease    time.Duration
	roles    []string
	unfenced bool // the recorder accepts stale effects too
}

// Names of parties besides members and instances. The operator's requests pass no relays.
const (
	recorderName = "recorder"
	operatorName = "operator"
)

func memberName(i int) string   { return fmt.Sprint("member ", i+1) }
func instanceName(i int) string { return fmt.Sprint("instance ", i+1) }

// isMember says whether a party is a member.
func isMember(name string) bool { return strings.HasPrefix(name, "member") }

// newCluster prepares a cluster, of which only the recorder runs. close ends it, also after an error.
func newCluster(opts clusterOptions) (*cluster, error) {
	c := &cluster{
		Harness:    faulttest.New(),
		program:    opts.program,
		lease:      opts.lease,
		roles:      opts.roles,
		relays:     map[string]*faulttest.Relay{},
		processes:  map[string]*faulttest.Process{},
		clockRates: map[string]float64{},
	}
	var err error
	if c.dir, err = os.MkdirTemp("", "clustertest"); err != nil {
		return c, fmt.Errorf("folder of the cluster: %w", err)
	}
	if err := c.startRecorder(opts.unfenced); err != nil {
		return c, err
	}
	for i := range opts.members {
		addr, err := reserveAddr(2, i)
		if err != nil {
			return c, err
		}
		c.memberAddrs = append(c.memberAddrs, addr)
	}
	return c, c.writeFleetFile(operatorName, 0)
}

func (c *cluster) startRecorder(unfenced bool) (err error) {
	if c.recorder, err = fakestandalone.NewRecorder(filepath.Join(c.dir, "effects")); err != nil {
		return err
	}
	c.recorder.Unfenced = unfenced
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("recorder: %w", err)
	}
	c.recorderAddr = ln.Addr().String()
	c.server = &http.Server{Handler: c.recorder, ReadHeaderTimeout: 10 * time.Second}
	go c.server.Serve(ln) // close ends it
	return nil
}

// close ends all that runs and removes the cluster's folder.
func (c *cluster) close() {
	c.Close()
	if c.server != nil {
		c.server.Close()
	}
	if c.recorder != nil {
		c.recorder.Close()
	}
	os.RemoveAll(c.dir)
}

// reserveAddr returns an address with a free port for the i-th party of a kind. Its IP address is derived from the kind and
// this process's ID: until the party listens there, no other connection and no other cluster takes the port.
func reserveAddr(kind, i int) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+pid%200, 4*(pid/200%50)+kind+i/250, i%250+1)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fmt.Errorf("reserve an address: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// relayName names the relay from one party to another.
func relayName(from, to string) string { return from + " to " + to }

// relayBetween is the relay from one party to another, started at first use.
func (c *cluster) relayBetween(from, to string) (*faulttest.Relay, error) {
	name := relayName(from, to)
	if r := c.relays[name]; r != nil {
		return r, nil
	}
	target := c.recorderAddr
	for i, addr := range c.memberAddrs {
		if to == memberName(i) {
			target = addr
		}
	}
	r, err := c.StartRelay(name, target)
	if err == nil {
		c.relays[name] = r
	}
	return r, err
}

// relaysBetween are the relays that were started from any of some parties to any of others.
func (c *cluster) relaysBetween(from, to func(name string) bool) (found []*faulttest.Relay) {
	for name, r := range c.relays {
		a, b, _ := strings.Cut(name, " to ")
		if from(a) && to(b) {
			found = append(found, r)
		}
	}
	return found
}

// addrOf is the address of a party as another reaches it: its relay's, but the party's own for the operator.
func (c *cluster) addrOf(to, direct, from string) (string, error) {
	if from == operatorName {
		return direct, nil
	}
	r, err := c.relayBetween(from, to)
	if err != nil {
		return "", err
	}
	return r.Addr(), nil
}

// writeFleetFile writes the fleet file of a party, in which every other party has the address of the relay to it. member is
// the party's number if it is a member, else 0.
func (c *cluster) writeFleetFile(party string, member int) error {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\n", filepath.Base(c.dir))
	fmt.Fprintf(&text, "lease = %q\ndamp = %q\n[members]\n", c.lease, c.lease)
	for i, addr := range c.memberAddrs {
		var err error
		if i+1 != member {
			if addr, err = c.addrOf(memberName(i), addr, party); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "%d = %q\n", i+1, addr)
	}
	for _, role := range c.roles {
		addr, err := c.recorderAddr, error(nil)
		if member == 0 {
			if addr, err = c.addrOf(recorderName, addr, party); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "[works.%s]\nreceiver = \"http://%s/effects\"\n", role, addr)
	}
	if err := os.WriteFile(c.fleetFile(party), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("fleet file of %s: %w", party, err)
	}
	return nil
}

func (c *cluster) fleetFile(party string) string {
	return filepath.Join(c.dir, strings.ReplaceAll(party, " ", "-")+".toml")
}

// memberDir is the folder of a member's store. It outlives the member's processes.
func (c *cluster) memberDir(i int) string { return filepath.Join(c.dir, fmt.Sprint("disk-", i+1)) }

// historyFile is where an instance writes the history of its effects.
func (c *cluster) historyFile(party string) string { return c.fleetFile(party) + ".history" }

// command is the program with arguments.
func (c *cluster) command(args ...string) *exec.Cmd { return exec.Command(c.program, args...) }

func (c *cluster) startProcess(name string, args ...string) error {
	p, err := c.StartProcess(name, c.command(args...))
	if err == nil {
		c.processes[name] = p
	}
	return err
}

// startMember starts a process of a member, on the disk that the member has.
func (c *cluster) startMember(i int) error {
	name := memberName(i)
	if err := os.MkdirAll(c.memberDir(i), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", name, err)
	}
	if err := c.writeFleetFile(name, i+1); err != nil {
		return err
	}
	return c.startProcess(name, "singleton", "member", "--fleet", c.fleetFile(name), "--id", fmt.Sprint(i+1),
		"--dir", c.memberDir(i), "--listen", c.memberAddrs[i])
}

// startInstance starts a process of an instance.
func (c *cluster) startInstance(i int) error {
	name := instanceName(i)
	if err := c.writeFleetFile(name, 0); err != nil {
		return err
	}
	rate := 1.0
	if r, set := c.clockRates[name]; set {
		rate = r
	}
	return c.startProcess(name, "singleton", "run", "--fleet", c.fleetFile(name), "--name", name,
		"--zone", fmt.Sprint("z", i%2), "--clock-rate", fmt.Sprint(rate), "--history", c.historyFile(name))
}

// status is what an operator sees: the fleet's status and the text that it was read from.
func (c *cluster) status() (s raftmember.FleetStatus, text string, err error) {
	out, err := c.command("singleton", "status", "--json", "--fleet", c.fleetFile(operatorName)).Output()
	if json.Unmarshal(out, &s) != nil && err == nil {
		err = fmt.Errorf("status is not readable: %s", out)
	}
	return s, string(out), err
}

// lastAccepted is the latest effect of a role that the recorder accepted.
func (c *cluster) lastAccepted(role string) (last fakestandalone.AcceptedEffect) {
	for _, e := range c.recorder.Accepted() {
		if e.Role == role {
			last = e
		}
	}
	return last
}

// waitFor waits until a condition holds, and returns false if it does not by the deadline.
func waitFor(deadline time.Time, condition func() bool) bool {
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}
