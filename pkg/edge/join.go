package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/transfer"
)

const (
	// minJoinBackoff is the delay after the first failed call of retryStoreCall; it doubles
	// up to maxBackoff.
	minJoinBackoff = 500 * time.Millisecond
	// storeWriteTimeout bounds a write of this gateway's row.
	storeWriteTimeout = 600 * time.Millisecond
	// seedAttempts is the number of bootstrap requests to a seed, seedRetryDelay apart,
	// before the gateway turns to the store. The VMs of a deployment start at about the
	// same time, within 0.3 s of each other, in any order.
	seedAttempts   = 10
	seedRetryDelay = 100 * time.Millisecond
	// firstMembershipSync is the delay after the start, and membershipSyncInterval the
	// interval, at which the reader of a group looks in the store for gateways from
	// which it receives no messages.
	firstMembershipSync    = 3 * time.Second
	membershipSyncInterval = 15 * time.Second
	// bootstrapPath is where a seed exchanges gateway descriptions.
	bootstrapPath = "/meeting"
	// maxMembersBytes bounds the bodies of bootstrap requests and responses.
	maxMembersBytes = 4 << 20
)

// memberRow is a row of the table Members: a gateway and its live peers.
type memberRow struct {
	Self  gossip.Gateway   `json:"self"`
	Peers []gossip.Gateway `json:"heard,omitempty"`
}

// runMembership announces this gateway and discovers the others through the seeds, or
// through the store if no seed responds. Gateways that start later announce themselves by
// a message with their description. The reader of the group also synchronizes the known
// gateways with the store from time to time, so that gateways that bootstrapped separately
// discover each other.
func (e *Edge) runMembership(ctx context.Context) {
	if !e.joinThroughSeeds(ctx) {
		e.retryStoreCall(ctx, e.writeMember)
		e.retryStoreCall(ctx, e.readMembers)
	}
	delay := firstMembershipSync
	for {
		select {
		case <-time.After(delay + jitter(delay)):
		case <-e.membersLost:
		case <-ctx.Done():
			return
		}
		delay = membershipSyncInterval
		if e.isGroupReader(e.now()) {
			err := errors.Join(e.callStore(ctx, e.writeMember), e.callStore(ctx, e.readMembers))
			if err != nil {
				e.log.Info("cannot synchronize known gateways with the store", "error", err)
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
		return eris.Wrap(err, "encode gateway row")
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	return e.store.Put(ctx, Members, e.self.ID, value)
}

// callStore makes one call to the store and counts its result.
func (e *Edge) callStore(ctx context.Context, call func(context.Context) error) error {
	err := call(ctx)
	e.counters.recordStoreCall(Members, err)
	return err
}

// joinThroughSeeds registers this gateway at all seeds and reports whether one of another
// VM responded. Each unresponsive seed is retried, because gateways that registered at
// different seeds would not discover each other.
func (e *Edge) joinThroughSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(e.settings.Seeds), func(s string) bool { return s == e.settings.BootstrapAddress })
	joined := make(chan bool, len(seeds))
	for _, seed := range seeds {
		go func() { joined <- e.joinSeedWithRetries(ctx, seed) }()
	}
	joinedAny := false
	for range seeds {
		joinedAny = <-joined || joinedAny
		e.membersLoaded.Store(joinedAny)
	}
	return joinedAny
}

func (e *Edge) joinSeedWithRetries(ctx context.Context, seed string) bool {
	for attempt := range seedAttempts {
		if attempt > 0 {
			time.Sleep(seedRetryDelay)
		}
		if e.joinSeed(ctx, seed) {
			return true
		}
	}
	return false
}

func (e *Edge) joinSeed(ctx context.Context, seed string) bool {
	members, err := postToSeed(ctx, seed, e.self)
	if err != nil {
		e.log.Debug("bootstrap request failed", "seed", seed, "error", err)
		return false
	}
	e.addGateways(members)
	return true
}

func postToSeed(ctx context.Context, seed string, self gossip.Gateway) ([]gossip.Gateway, error) {
	body, err := json.Marshal(self)
	if err != nil {
		return nil, eris.Wrap(err, "encode gateway description")
	}
	ctx, watchdog := transfer.Watch(ctx, peerTimeout)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seed+bootstrapPath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build bootstrap request")
	}
	response, err := peerClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(watchdog.Err(err), "send bootstrap request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("bootstrap response has status %d", response.StatusCode)
	}
	text, err := watchdog.ReadAll(response.Body, nil, peerTimeout, maxMembersBytes)
	if err != nil {
		return nil, eris.Wrap(err, "read bootstrap response")
	}
	var members []gossip.Gateway
	return members, eris.Wrap(json.Unmarshal(text, &members), "decode bootstrap response")
}

// addGateways adds gateways that a seed or the store returned. The next message then
// carries the description of this gateway, because peers ignore messages of unknown
// senders.
func (e *Edge) addGateways(members []gossip.Gateway) {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	for _, m := range members {
		e.peers.AddGateway(e.now(), m)
	}
	e.announcePending.Store(true)
}

// bootstrapHandler registers starting gateways and returns those that registered before.
func (e *Edge) bootstrapHandler() http.Handler {
	e.directory.Register(e.now(), e.self)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+bootstrapPath, func(w http.ResponseWriter, r *http.Request) {
		var joining gossip.Gateway
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMembersBytes)).Decode(&joining)
		if err != nil || joining.ID == "" {
			http.Error(w, "not an introduction", http.StatusBadRequest)
			return
		}
		others := append(e.directory.Register(e.now(), joining), e.self)
		e.addGateways([]gossip.Gateway{joining})
		// An error here means that the other gateway closed the connection.
		_ = json.NewEncoder(w).Encode(others)
	})
	return mux
}

// retryStoreCall repeats a call with exponential backoff until it succeeds or ctx is
// done. A read of a table that reaches the store again ends the delay.
func (e *Edge) retryStoreCall(ctx context.Context, call func(context.Context) error) {
	backoff := minJoinBackoff
	for ctx.Err() == nil {
		err := e.callStore(ctx, call)
		if err == nil {
			return
		}
		e.log.Warn("cannot exchange gateway addresses through the store; retrying", "error", err)
		select {
		case <-time.After(backoff + jitter(backoff)):
			backoff = min(2*backoff, maxBackoff)
		case <-e.storeReached:
			backoff = minJoinBackoff
		case <-ctx.Done():
		}
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
			e.log.Warn("cannot decode gateway row", "gateway", row.Key, "error", err)
			continue
		}
		members = append(members, m.Self)
		members = append(members, m.Peers...)
	}
	e.addGateways(members)
	e.membersLoaded.Store(true)
	return nil
}
