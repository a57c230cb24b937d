package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/gossip"
)

const (
	// joinRetry is the pause after a failed call.
	joinRetry = 500 * time.Millisecond
	// seedRounds is how often the seeds are asked before the store is: all
	// machines start within 0.3 s, in any order.
	seedRounds = 10
	seedPause  = 100 * time.Millisecond
	// firstMeetingCheck and meetingCheck are how long after the start, and how
	// often, the reader looks for gateways that it does not hear from.
	firstMeetingCheck = 3 * time.Second
	meetingCheck      = 15 * time.Second
	// meetingPath is where gateways meet.
	meetingPath = "/meeting"
	// memberLife is how long a gateway that met others is remembered for those that
	// come later.
	memberLife = time.Minute
	// maxMembersBytes bounds the list of gateways.
	maxMembersBytes = 4 << 20
)

// directory holds the gateways of all regions that met at this one. It is safe
// for concurrent use.
type directory struct {
	mu      sync.Mutex
	members map[string]meeting
}

type meeting struct {
	member gossip.Gateway
	at     int64
}

// remotesPerDomain is how many gateways of each failure domain of other regions a
// newcomer is told of.
const remotesPerDomain = 3

// meet takes a gateway in and returns the others of its region and a few of each
// failure domain of other regions.
func (d *directory) meet(now int64, newcomer gossip.Gateway) []gossip.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.members == nil {
		d.members = make(map[string]meeting)
	}
	others := []gossip.Gateway{}
	remotes := make(map[string]int)
	for id, known := range d.members {
		domain := known.member.FailureDomain
		switch {
		case now-known.at > int64(memberLife):
			delete(d.members, id)
		case id == newcomer.ID:
		case known.member.Region != newcomer.Region && remotes[domain] >= remotesPerDomain:
		default:
			remotes[domain]++
			others = append(others, known.member)
		}
	}
	d.members[newcomer.ID] = meeting{member: newcomer, at: now}
	return others
}

// membership is a row of the table Members: a gateway and those that it hears from.
type membership struct {
	Self  gossip.Gateway   `json:"self"`
	Heard []gossip.Gateway `json:"heard,omitempty"`
}

// runJoin makes this gateway known to the others and learns their addresses: from
// the seeds, or from the store if no seed answers. Gateways that start later
// introduce themselves with a message. The reader of the region also exchanges
// what it knows with the store now and then, so that groups of gateways that do
// not know each other find together.
func (e *Edge) runJoin(ctx context.Context) {
	if !e.joinSeeds(ctx) {
		e.untilDone(ctx, e.writeMember)
		e.untilDone(ctx, e.readMembers)
	}
	pause := firstMeetingCheck
	for {
		select {
		case <-time.After(pause + jitter(pause)):
		case <-ctx.Done():
			return
		}
		pause = meetingCheck
		if e.readsForGroup(e.now()) {
			err := errors.Join(e.try(ctx, e.writeMember), e.try(ctx, e.readMembers))
			if err != nil {
				e.log.Info("cannot compare the known gateways with the store", "error", err)
			}
		}
	}
}

func (e *Edge) writeMember(ctx context.Context) error {
	row := membership{Self: e.self}
	e.peersMu.Lock()
	row.Heard = e.peers.AlivePeers(e.now())
	e.peersMu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode row of this gateway")
	}
	return e.store.Put(ctx, Members, e.self.ID, value)
}

// try makes a call of the store.
func (e *Edge) try(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(ctx)
	e.counters.storeCall(Members, err)
	return err
}

// joinSeeds introduces this gateway to all seeds and reports whether one of
// another machine answered. A seed that does not answer is asked again for a
// while, because gateways that met at different seeds would not know each other.
func (e *Edge) joinSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(e.settings.Seeds), func(s string) bool { return s == e.settings.BootstrapAddress })
	answered := make(chan bool, len(seeds))
	for _, seed := range seeds {
		go func() { answered <- e.joinSeedInRounds(ctx, seed) }()
	}
	any := false
	for range seeds {
		any = <-answered || any
		e.membersRead.Store(any)
	}
	return any
}

func (e *Edge) joinSeedInRounds(ctx context.Context, seed string) bool {
	for round := range seedRounds {
		if round > 0 {
			time.Sleep(seedPause)
		}
		if e.joinSeed(ctx, seed) {
			return true
		}
	}
	return false
}

func (e *Edge) joinSeed(ctx context.Context, seed string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	members, err := askSeed(ctx, seed, e.self)
	if err != nil {
		e.log.Debug("seed did not answer", "seed", seed, "error", err)
		return false
	}
	e.learn(members)
	return true
}

func askSeed(ctx context.Context, seed string, self gossip.Gateway) ([]gossip.Gateway, error) {
	body, err := json.Marshal(self)
	if err != nil {
		return nil, eris.Wrap(err, "encode introduction")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seed+meetingPath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build introduction")
	}
	response, err := peerClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "introduce this gateway")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the seed answered %d", response.StatusCode)
	}
	var members []gossip.Gateway
	err = json.NewDecoder(io.LimitReader(response.Body, maxMembersBytes)).Decode(&members)
	return members, eris.Wrap(err, "decode the list of gateways")
}

// learn takes in gateways that a seed or the store named, and lets the next message
// introduce this gateway: those that do not know it ignore its messages.
func (e *Edge) learn(members []gossip.Gateway) {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	for _, m := range members {
		e.peers.AddGateway(e.now(), m)
	}
	e.greet.Store(true)
}

// meetingHandler lets gateways that know nothing yet meet.
func (e *Edge) meetingHandler() http.Handler {
	e.directory.meet(e.now(), e.self)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+meetingPath, func(w http.ResponseWriter, r *http.Request) {
		var newcomer gossip.Gateway
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMembersBytes)).Decode(&newcomer)
		if err != nil || newcomer.ID == "" {
			http.Error(w, "not an introduction", http.StatusBadRequest)
			return
		}
		others := append(e.directory.meet(e.now(), newcomer), e.self)
		e.learn([]gossip.Gateway{newcomer})
		// An error here means that the newcomer has gone away.
		_ = json.NewEncoder(w).Encode(others)
	})
	return mux
}

// untilDone repeats a call until it succeeds or ctx ends.
func (e *Edge) untilDone(ctx context.Context, call func(context.Context) error) {
	pause := joinRetry
	for ctx.Err() == nil {
		err := e.try(ctx, call)
		if err == nil {
			return
		}
		e.log.Warn("cannot join the other gateways yet", "error", err)
		select {
		case <-time.After(pause + jitter(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxBackoff)
	}
}

func (e *Edge) readMembers(ctx context.Context) error {
	batch, err := e.store.Read(ctx, Members)
	if err != nil {
		return err
	}
	var members []gossip.Gateway
	for _, row := range batch.Rows {
		var m membership
		err := json.Unmarshal(row.Value, &m)
		if err != nil {
			e.log.Warn("row of a gateway cannot be read", "gateway", row.Key, "error", err)
			continue
		}
		members = append(members, m.Self)
		members = append(members, m.Heard...)
	}
	e.learn(members)
	e.membersRead.Store(true)
	return nil
}
