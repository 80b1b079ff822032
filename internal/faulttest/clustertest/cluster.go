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

// cluster runs members, instances and a recorder on loopback. Members and instances are processes of the built program.
// Connections between two of them, and from instances to the recorder, pass through relays.
type cluster struct {
	*faulttest.Harness
	program      string // path of the built program
	dir          string
	lease        time.Duration
	roles        []string
	memberAddrs  []string // the members' own addresses, behind the relays
	relays       map[link]*faulttest.Relay
	processes    map[string]*faulttest.Process
	clockRates   map[string]float64 // of instances; absent: 1
	recorder     *fakestandalone.Recorder
	server       *http.Server // of the recorder
	recorderAddr string
}

// clusterOptions are the parameters of a cluster.
type clusterOptions struct {
	program  string
	members  int
	lease    time.Duration
	roles    []string
	unfenced bool // the recorder accepts stale effects too
}

const (
	readHeaderTimeout = 10 * time.Second
	pollInterval      = 20 * time.Millisecond // of waitFor
)

// Names of parties besides members and instances. The operator's requests bypass the relays.
const (
	recorderName = "recorder"
	operatorName = "operator"
)

func memberName(i int) string   { return fmt.Sprint("member ", i+1) }
func instanceName(i int) string { return fmt.Sprint("instance ", i+1) }

// isMember reports whether the name of a party is that of a member.
func isMember(name string) bool { return strings.HasPrefix(name, "member") }

// newCluster prepares a cluster and starts only its recorder. The caller must call close, also after an error.
func newCluster(opts clusterOptions) (*cluster, error) {
	c := &cluster{
		Harness:    faulttest.New(),
		program:    opts.program,
		lease:      opts.lease,
		roles:      opts.roles,
		relays:     map[link]*faulttest.Relay{},
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
		addr, err := reserveAddr(memberAddrs, i)
		if err != nil {
			return c, err
		}
		c.memberAddrs = append(c.memberAddrs, addr)
	}
	return c, c.writeFleetFile(operatorName)
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
	c.server = &http.Server{Handler: c.recorder, ReadHeaderTimeout: readHeaderTimeout}
	go c.server.Serve(ln) // until close
	return nil
}

// close ends all processes, relays and servers, and removes the cluster's folder.
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

// addrKind is the kind of party that an address is for. No two kinds share an IP address.
type addrKind int

// The kinds. A kind has 250 addresses. Caches have 500, those of the kinds 0 and 1, as there may be more than 250
// caches.
const (
	cacheAddrs  addrKind = 0
	memberAddrs addrKind = 2
	proxyAddrs  addrKind = 3
)

// reserveAddr returns an address with a free port for the i-th party of a kind. The IP address is derived from the
// kind, i and this process's ID, so that no other connection and no other cluster takes the port before the party
// listens there.
func reserveAddr(kind addrKind, i int) (string, error) {
	const kinds, addrsPerKind = 4, 250
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+pid%200, kinds*(pid/200%50)+int(kind)+i/addrsPerKind, i%addrsPerKind+1)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fmt.Errorf("reserve an address: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// link is the network path from one party to another, by their names.
type link struct{ from, to string }

// String returns the name of the link's relay in the history.
func (l link) String() string { return l.from + " to " + l.to }

// relayBetween returns the relay of a link to the recorder or to a member. It starts the relay at first use.
func (c *cluster) relayBetween(l link) (*faulttest.Relay, error) {
	if r := c.relays[l]; r != nil {
		return r, nil
	}
	target := c.recorderAddr
	for i, addr := range c.memberAddrs {
		if l.to == memberName(i) {
			target = addr
		}
	}
	r, err := c.StartRelay(l.String(), target)
	if err == nil {
		c.relays[l] = r
	}
	return r, err
}

// relaysBetween returns the started relays of the links whose parties match from and to.
func (c *cluster) relaysBetween(from, to func(name string) bool) (found []*faulttest.Relay) {
	for l, r := range c.relays {
		if from(l.from) && to(l.to) {
			found = append(found, r)
		}
	}
	return found
}

// addrOf returns the address at which l.from reaches l.to: the address of the link's relay, or, for the operator,
// direct, which is l.to's own address.
func (c *cluster) addrOf(l link, direct string) (string, error) {
	if l.from == operatorName {
		return direct, nil
	}
	r, err := c.relayBetween(l)
	if err != nil {
		return "", err
	}
	return r.Addr(), nil
}

// writeFleetFile writes the fleet file of a party. It has the addresses of the relays to the other parties, not their
// own.
func (c *cluster) writeFleetFile(party string) error {
	text := c.fleetFileHead()
	for i, addr := range c.memberAddrs {
		var err error
		if memberName(i) != party {
			if addr, err = c.addrOf(link{party, memberName(i)}, addr); err != nil {
				return err
			}
		}
		text += fmt.Sprintf("%d = %q\n", i+1, addr)
	}
	for _, role := range c.roles {
		addr, err := c.recorderAddr, error(nil)
		if !isMember(party) { // a member reads the roles' names only
			if addr, err = c.addrOf(link{party, recorderName}, addr); err != nil {
				return err
			}
		}
		text += fmt.Sprintf("[works.%s]\nreceiver = \"http://%s/effects\"\n", role, addr)
	}
	return c.storeFleetFile(party, text)
}

// fleetFileHead returns the start of every fleet file, up to the members' addresses.
func (c *cluster) fleetFileHead() string {
	return fmt.Sprintf("name = %q\nlease = %q\ndamp = %q\n[members]\n", filepath.Base(c.dir), c.lease, c.lease)
}

func (c *cluster) storeFleetFile(party, text string) error {
	if err := os.WriteFile(c.fleetFile(party), []byte(text), 0o600); err != nil {
		return fmt.Errorf("fleet file of %s: %w", party, err)
	}
	return nil
}

func (c *cluster) fleetFile(party string) string {
	return filepath.Join(c.dir, strings.ReplaceAll(party, " ", "-")+".toml")
}

// memberDir returns the folder of a member's store. It remains when the member's process ends.
func (c *cluster) memberDir(i int) string { return filepath.Join(c.dir, fmt.Sprint("disk-", i+1)) }

// volatileDir returns a folder that stands for an in-memory folder of the member's machine, which a restart of the
// machine clears. It has the mark of the member's store.
func (c *cluster) volatileDir(i int) string {
	return filepath.Join(c.dir, fmt.Sprint("volatile-", i+1))
}

// historyFile returns the path of the file to which an instance writes the history of its effects.
func (c *cluster) historyFile(party string) string { return c.fleetFile(party) + ".history" }

// command returns a command that runs the program with arguments.
func (c *cluster) command(args ...string) *exec.Cmd { return exec.Command(c.program, args...) }

func (c *cluster) startProcess(name string, args ...string) error {
	p, err := c.StartProcess(name, c.command(args...))
	if err == nil {
		c.processes[name] = p
	}
	return err
}

// startMember starts a process of a member, with the member's existing store if it has one.
func (c *cluster) startMember(i int) error {
	name := memberName(i)
	if err := c.writeFleetFile(name); err != nil {
		return err
	}
	return c.startMemberProcess(i, c.fleetFile(name))
}

// startMemberProcess starts a process of a member with a fleet file. The member listens at its own address, even if the
// file has another address for it.
func (c *cluster) startMemberProcess(i int, fleetFile string) error {
	for _, dir := range []string{c.memberDir(i), c.volatileDir(i)} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("folder of %s: %w", memberName(i), err)
		}
	}
	return c.startProcess(memberName(i), "singleton", "member", "--fleet", fleetFile, "--id", fmt.Sprint(i+1),
		"--dir", c.memberDir(i), "--volatile-dir", c.volatileDir(i), "--listen", c.memberAddrs[i])
}

// startInstance starts a process of an instance.
func (c *cluster) startInstance(i int) error {
	name := instanceName(i)
	if err := c.writeFleetFile(name); err != nil {
		return err
	}
	rate := 1.0
	if r, set := c.clockRates[name]; set {
		rate = r
	}
	return c.startProcess(name, "singleton", "run", "--fleet", c.fleetFile(name), "--name", name,
		"--zone", fmt.Sprint("z", i%2), "--clock-rate", fmt.Sprint(rate), "--history", c.historyFile(name))
}

// status returns the fleet's status as the status command shows it to an operator. It returns an error if the command
// fails, as it does without a quorum, or if its output can't be decoded.
func (c *cluster) status() (s raftmember.FleetStatus, err error) {
	out, err := c.command("singleton", "status", "--json", "--fleet", c.fleetFile(operatorName)).Output()
	if decodeErr := json.Unmarshal(out, &s); decodeErr != nil && err == nil {
		err = fmt.Errorf("status %q: %w", out, decodeErr)
	}
	return s, err
}

// lastAccepted returns the latest effect of a role that the recorder accepted.
func (c *cluster) lastAccepted(role string) (last fakestandalone.AcceptedEffect) {
	for _, e := range c.recorder.Accepted() {
		if e.Role == role {
			last = e
		}
	}
	return last
}

// lastAcceptedFrom returns the last accepted effect of an instance.
func (c *cluster) lastAcceptedFrom(instance string) (last fakestandalone.AcceptedEffect) {
	for _, e := range c.recorder.Accepted() {
		if e.From == instance {
			last = e
		}
	}
	return last
}

// waitFor polls until a condition holds, and returns false if it does not by the deadline.
func waitFor(deadline time.Time, condition func() bool) bool {
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}
