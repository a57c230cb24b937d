// Package reachability decides whether a gateway can reach any server at all. A server that
// does not respond may have failed itself; a gateway whose links to all servers are cut sees
// the same at each of them. The package suspects a cut when several servers fail with no sign of
// life of another one in between, and verifies it by connecting to further servers. Package
// contact makes these connections. This package does no I/O, starts no goroutine and reads no
// clock: times are nanoseconds on the gateway's monotonic clock.
package reachability

import (
	"maps"
	"math/rand/v2"
	"time"
)

// State says what is known of the links to the servers.
type State int

const (
	// Reachable means that the gateway reaches servers, as far as it knows.
	Reachable State = iota
	// Suspected means that connections to further servers are verifying a suspicion.
	Suspected
	// Isolated means that the gateway cannot open a connection to any server.
	Isolated
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Reachable:
		return "reachable"
	case Suspected:
		return "suspected"
	default:
		return "isolated"
	}
}

const (
	// suspectServers is how many servers must fail, with no sign of life of another one, to
	// raise a suspicion. One server fails for reasons of its own.
	suspectServers = 2
	// minServers is the number of servers from which a cut is told from their own failure: at
	// least one must be left to verify the suspicion.
	minServers = suspectServers + 1
	// checkServers is how many further servers verify a suspicion.
	checkServers = 3
	// minSuspicionInterval is the time between two suspicions. It bounds the connections
	// that verify them while servers keep failing.
	minSuspicionInterval = time.Second
	// isolatedCheckInterval is how often an isolated gateway tries to connect to a server.
	isolatedCheckInterval = 200 * time.Millisecond
	// recoveryServers is how many servers must accept a connection, with no failure in
	// between, to end the isolation.
	recoveryServers = 2
	// freshReport is the age up to which a load report shows that a server is alive.
	freshReport = 2 * time.Second
)

// Server is a server to which the gateway can try to connect.
type Server struct {
	Address       string
	Service       string
	FailureDomain string
	// ReportedAt is when the server last reported its load to any gateway, 0 for never.
	ReportedAt int64
}

// Tracker is the reachability of the servers as seen by one gateway. The zero value has seen
// nothing and takes the servers for reachable. It is not safe for concurrent use.
type Tracker struct {
	state State
	// since is when the state began.
	since int64
	// lostAt is the start of the first failure of the current suspicion or isolation.
	lostAt int64
	// connectFailures holds, by address, when the failed attempts to connect began since the
	// last one that succeeded.
	connectFailures map[string]int64
	// unanswered holds, by address, when the requests without a response were sent since
	// the last response of any server.
	unanswered map[string]int64
	// heardAt is the time of the last bytes from any server.
	heardAt int64
	// round holds the addresses of the servers that verify the suspicion.
	round []string
	// accepted holds the addresses that accepted a connection during the isolation.
	accepted map[string]bool
	// nextCheckAt is the earliest time of the next suspicion or check.
	nextCheckAt int64
}

// State returns the current state and when it began.
func (t *Tracker) State() (state State, since int64) {
	return t.state, t.since
}

// LostAt returns when the first failure began of those that led to the current suspicion or
// isolation.
func (t *Tracker) LostAt() int64 {
	return t.lostAt
}

// Doubtful reports whether servers that failed at this gateway may have failed because of its
// own links: it has heard of no server since.
func (t *Tracker) Doubtful() bool {
	return t.state != Reachable || len(t.unanswered) > 0
}

// Pending reports whether Check may have something to do soon.
func (t *Tracker) Pending() bool {
	return t.state != Reachable || len(t.connectFailures) >= suspectServers || len(t.unanswered) >= suspectServers
}

// Heard records that bytes of a server arrived.
func (t *Tracker) Heard(now int64) {
	if now <= t.heardAt {
		return
	}
	t.heardAt = now
	clear(t.unanswered)
}

// Unanswered records that a request that was sent at sentAt got no response. It is no evidence
// if another server has been heard of since.
func (t *Tracker) Unanswered(address string, sentAt int64) {
	if sentAt <= t.heardAt {
		return
	}
	record(&t.unanswered, address, sentAt)
}

// ConnectFailed records that an attempt to connect, which began at startedAt, failed.
func (t *Tracker) ConnectFailed(now int64, address string, startedAt int64) {
	record(&t.connectFailures, address, startedAt)
	switch t.state {
	case Suspected:
		if t.roundFailed() {
			t.setState(now, Isolated)
			t.nextCheckAt = now + int64(isolatedCheckInterval)
		}
	case Isolated:
		clear(t.accepted)
	}
}

// Connected records that an attempt to connect, which began at startedAt, succeeded.
func (t *Tracker) Connected(now int64, address string, startedAt int64) {
	maps.DeleteFunc(t.connectFailures, func(_ string, failedAt int64) bool { return failedAt <= startedAt })
	if startedAt < t.since {
		// The links may have been cut since.
		return
	}
	switch t.state {
	case Suspected:
		t.endSuspicion(now)
	case Isolated:
		if t.accepted == nil {
			t.accepted = make(map[string]bool)
		}
		t.accepted[address] = true
		t.nextCheckAt = now
	}
}

// Check returns the servers to which the gateway must try to connect now, and updates the state.
// The results are recorded by Connected and ConnectFailed.
func (t *Tracker) Check(now int64, servers []Server, random *rand.Rand) []Server {
	if len(servers) == 0 {
		return nil
	}
	if t.state == Isolated && len(t.accepted) >= min(recoveryServers, len(servers)) {
		t.endSuspicion(now)
	}
	if now < t.nextCheckAt {
		return nil
	}
	switch t.state {
	case Reachable:
		return t.suspect(now, servers, random)
	case Isolated:
		t.nextCheckAt = now + int64(isolatedCheckInterval)
		return pickServers(now, servers, t.accepted, 1, random)
	default:
		return nil
	}
}

// suspect starts to verify a suspicion if there is one, and returns the servers for that.
func (t *Tracker) suspect(now int64, servers []Server, random *rand.Rand) []Server {
	if len(servers) < minServers || len(t.connectFailures) < suspectServers && len(t.unanswered) < suspectServers {
		return nil
	}
	t.lostAt = now
	failed := make(map[string]bool)
	for _, failures := range []map[string]int64{t.connectFailures, t.unanswered} {
		for address, startedAt := range failures {
			failed[address] = true
			t.lostAt = min(t.lostAt, startedAt)
		}
	}
	picked := pickServers(now, servers, failed, checkServers, random)
	t.round = t.round[:0]
	for _, server := range picked {
		t.round = append(t.round, server.Address)
	}
	t.setState(now, Suspected)
	return picked
}

// roundFailed reports whether no server that verifies the suspicion accepts connections.
func (t *Tracker) roundFailed() bool {
	for _, address := range t.round {
		failedAt, failed := t.connectFailures[address]
		if !failed || failedAt < t.since {
			return false
		}
	}
	return true
}

// endSuspicion forgets all failures, because a server was reached after them.
func (t *Tracker) endSuspicion(now int64) {
	t.setState(now, Reachable)
	clear(t.connectFailures)
	clear(t.unanswered)
	clear(t.accepted)
	t.nextCheckAt = now + int64(minSuspicionInterval)
}

func (t *Tracker) setState(now int64, state State) {
	t.state, t.since = state, now
}

// record sets the time for an address.
func record(times *map[string]int64, address string, at int64) {
	if *times == nil {
		*times = make(map[string]int64)
	}
	(*times)[address] = at
}
