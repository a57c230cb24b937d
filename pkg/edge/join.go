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
	// minJoinBackoff is the pause after a failed call.
	minJoinBackoff = 500 * time.Millisecond
	// seedAttempts is how often the seeds are asked before the store is: all
	// machines start within 0.3 s, in any order.
	seedAttempts   = 10
	seedRetryDelay = 100 * time.Millisecond
	// firstMembershipSync and meetingCheck are how long after the start, and how
	// often, the reader looks for gateways that it does not hear from.
	firstMembershipSync    = 3 * time.Second
	membershipSyncInterval = 15 * time.Second
	// bootstrapPath is where gateways meet.
	bootstrapPath = "/meeting"
	// directoryTTL is how long a gateway that met others is remembered for those that
	// come later.
	directoryTTL = time.Minute
	// maxMembersBytes bounds the list of gateways.
	maxMembersBytes = 4 << 20
)

// directory holds the gateways of all regions that met at this one. It is safe
// for concurrent use.
type directory struct {
	mu      sync.Mutex
	entries map[string]directoryEntry
}

type directoryEntry struct {
	gateway      gossip.Gateway
	registeredAt int64
}

// maxRemotesPerDomain is how many gateways of each failure domain of other regions a
// newcomer is told of.
const maxRemotesPerDomain = 3

// register takes a gateway in and returns the others of its region and a few of each
// failure domain of other regions.
func (d *directory) register(now int64, joining gossip.Gateway) []gossip.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]directoryEntry)
	}
	others := []gossip.Gateway{}
	remotes := make(map[string]int)
	for id, entry := range d.entries {
		domain := entry.gateway.FailureDomain
		switch {
		case now-entry.registeredAt > int64(directoryTTL):
			delete(d.entries, id)
		case id == joining.ID:
		case entry.gateway.Region != joining.Region && remotes[domain] >= maxRemotesPerDomain:
		default:
			remotes[domain]++
			others = append(others, entry.gateway)
		}
	}
	d.entries[joining.ID] = directoryEntry{gateway: joining, registeredAt: now}
	return others
}

// memberRow is a row of the table Members: a gateway and those that it hears from.
type memberRow struct {
	Self  gossip.Gateway   `json:"self"`
	Peers []gossip.Gateway `json:"heard,omitempty"`
}

// runMembership makes this gateway known to the others and learns their addresses: from
// the seeds, or from the store if no seed answers. Gateways that start later
// introduce themselves with a message. The reader of the region also exchanges
// what it knows with the store now and then, so that groups of gateways that do
// not know each other find together.
func (e *Edge) runMembership(ctx context.Context) {
	if !e.joinThroughSeeds(ctx) {
		e.retryStoreCall(ctx, e.writeMember)
		e.retryStoreCall(ctx, e.readMembers)
	}
	delay := firstMembershipSync
	for {
		select {
		case <-time.After(delay + jitter(delay)):
		case <-ctx.Done():
			return
		}
		delay = membershipSyncInterval
		if e.isGroupReader(e.now()) {
			err := errors.Join(e.callStore(ctx, e.writeMember), e.callStore(ctx, e.readMembers))
			if err != nil {
				e.log.Info("cannot compare the known gateways with the store", "error", err)
			}
		}
	}
}

func (e *Edge) writeMember(ctx context.Context) error {
	row := memberRow{Self: e.self}
	e.peersMu.Lock()
	row.Peers = e.peers.AlivePeers(e.now())
	e.peersMu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode row of this gateway")
	}
	return e.store.Put(ctx, Members, e.self.ID, value)
}

// callStore makes a call of the store.
func (e *Edge) callStore(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := call(ctx)
	e.counters.recordStoreCall(Members, err)
	return err
}

// joinThroughSeeds introduces this gateway to all seeds and reports whether one of
// another machine answered. A seed that does not answer is asked again for a
// while, because gateways that met at different seeds would not know each other.
func (e *Edge) joinThroughSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(e.settings.Seeds), func(s string) bool { return s == e.settings.BootstrapAddress })
	joined := make(chan bool, len(seeds))
	for _, seed := range seeds {
		go func() { joined <- e.joinSeedWithRetries(ctx, seed) }()
	}
	any := false
	for range seeds {
		any = <-joined || any
		e.membersLoaded.Store(any)
	}
	return any
}

func (e *Edge) joinSeedWithRetries(ctx context.Context, seed string) bool {
	for round := range seedAttempts {
		if round > 0 {
			time.Sleep(seedRetryDelay)
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
	members, err := postToSeed(ctx, seed, e.self)
	if err != nil {
		e.log.Debug("seed did not answer", "seed", seed, "error", err)
		return false
	}
	e.addGateways(members)
	return true
}

func postToSeed(ctx context.Context, seed string, self gossip.Gateway) ([]gossip.Gateway, error) {
	body, err := json.Marshal(self)
	if err != nil {
		return nil, eris.Wrap(err, "encode introduction")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seed+bootstrapPath, bytes.NewReader(body))
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

// addGateways takes in gateways that a seed or the store named, and lets the next message
// introduce this gateway: those that do not know it ignore its messages.
func (e *Edge) addGateways(members []gossip.Gateway) {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	for _, m := range members {
		e.peers.AddGateway(e.now(), m)
	}
	e.announcePending.Store(true)
}

// bootstrapHandler lets gateways that know nothing yet meet.
func (e *Edge) bootstrapHandler() http.Handler {
	e.directory.register(e.now(), e.self)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+bootstrapPath, func(w http.ResponseWriter, r *http.Request) {
		var joining gossip.Gateway
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMembersBytes)).Decode(&joining)
		if err != nil || joining.ID == "" {
			http.Error(w, "not an introduction", http.StatusBadRequest)
			return
		}
		others := append(e.directory.register(e.now(), joining), e.self)
		e.addGateways([]gossip.Gateway{joining})
		// An error here means that the newcomer has gone away.
		_ = json.NewEncoder(w).Encode(others)
	})
	return mux
}

// retryStoreCall repeats a call until it succeeds or ctx ends.
func (e *Edge) retryStoreCall(ctx context.Context, call func(context.Context) error) {
	backoff := minJoinBackoff
	for ctx.Err() == nil {
		err := e.callStore(ctx, call)
		if err == nil {
			return
		}
		e.log.Warn("cannot join the other gateways yet", "error", err)
		select {
		case <-time.After(backoff + jitter(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (e *Edge) readMembers(ctx context.Context) error {
	batch, err := e.store.Read(ctx, Members)
	if err != nil {
		return err
	}
	var members []gossip.Gateway
	for _, row := range batch.Rows {
		var m memberRow
		err := json.Unmarshal(row.Value, &m)
		if err != nil {
			e.log.Warn("row of a gateway cannot be read", "gateway", row.Key, "error", err)
			continue
		}
		members = append(members, m.Self)
		members = append(members, m.Peers...)
	}
	e.addGateways(members)
	e.membersLoaded.Store(true)
	return nil
}
