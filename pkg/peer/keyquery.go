package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"balsamhill/pkg/peer/peerpb"
)

const (
	// batchDelay is how long the first query of a batch waits for others.
	batchDelay = 5 * time.Millisecond
	// queryTimeout bounds the time from the start of a query to the last reply.
	queryTimeout = 100 * time.Millisecond
	// maxWaitingQueries bounds the queries that wait for a batch.
	maxWaitingQueries = 1024
)

// query is one pending call of QueryKey.
type query struct {
	key *peerpb.Key
	// noAttempt receives the result. It is buffered, so that resolve does not block
	// if QueryKey has returned.
	noAttempt chan bool
}

// batch is a group of queries that are sent in one message.
type batch struct {
	// recipients holds the gateways that the batch was sent to.
	recipients []string
	queries    []query
	// pending holds the peers that have not replied yet.
	pending map[string]bool
	// mayHaveAttempt says for each key whether some peer may hold an attempt.
	mayHaveAttempt []bool
	done           chan struct{}
}

type queries struct {
	incoming chan query

	mu     *sync.Mutex
	lastID uint64
	open   map[uint64]*batch
}

func newQueries() queries {
	return queries{incoming: make(chan query, maxWaitingQueries), mu: &sync.Mutex{}, open: make(map[uint64]*batch)}
}

// QueryKey reports whether every other gateway that may hold an attempt of the key
// replied in time that it has none. It implements claimstore.PeerQuery.
func (e *Exchange) QueryKey(ctx context.Context, service, key string) bool {
	if len(key) > maxKeyBytes || len(service) > maxNameBytes {
		return false
	}
	q := query{key: &peerpb.Key{Service: service, Key: key}, noAttempt: make(chan bool, 1)}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case e.queries.incoming <- q:
	default:
		e.counters.QueriesFailed.Add(1)
		return false
	}
	select {
	case noAttempt := <-q.noAttempt:
		return noAttempt
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// runQueries collects queries into batches and sends them until ctx ends.
func (e *Exchange) runQueries(ctx context.Context) {
	for {
		select {
		case first := <-e.queries.incoming:
			e.startBatch(ctx, e.collect(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) collect(ctx context.Context, first query) []query {
	collected := []query{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(collected) < maxQueryKeys {
		select {
		case q := <-e.queries.incoming:
			collected = append(collected, q)
		case <-timer.C:
			return collected
		case <-ctx.Done():
			return collected
		}
	}
	return collected
}

// startBatch sends a batch and resolves its queries when all replies have arrived or
// queryTimeout has passed.
func (e *Exchange) startBatch(ctx context.Context, collected []query) {
	b := &batch{
		queries:        collected,
		pending:        make(map[string]bool),
		mayHaveAttempt: make([]bool, len(collected)),
		done:           make(chan struct{}),
	}
	id, sent := e.sendBatch(b)
	if !sent {
		e.queries.close(id)
		e.counters.QueriesFailed.Add(uint64(len(collected)))
		b.resolve(false)
		return
	}
	go func() {
		timer := time.NewTimer(queryTimeout)
		defer timer.Stop()
		complete := false
		select {
		case <-b.done:
			complete = e.sentToAll(b)
		case <-timer.C:
		case <-ctx.Done():
		}
		e.queries.close(id)
		if !complete {
			e.counters.QueriesFailed.Add(uint64(len(collected)))
		}
		b.resolve(complete)
	}()
}

// sendBatch sends the batch to every gateway that may hold an attempt. It reports
// false if one of them cannot be reached, or if there may be others that this gateway
// does not know, for example because the gateway rows were never read.
func (e *Exchange) sendBatch(b *batch) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids, complete := e.view.GatewaysWithPossibleAttempts()
	b.recipients = ids
	for _, id := range ids {
		b.pending[id] = true
	}
	queryID := e.queries.add(b)
	if !complete {
		return queryID, false
	}
	keys := make([]*peerpb.Key, 0, len(b.queries))
	for _, q := range b.queries {
		keys = append(keys, q.key)
	}
	body := &peerpb.KeyQuery{Id: queryID, Keys: keys}
	frame := &peerpb.Frame{Body: &peerpb.Frame_KeyQuery{KeyQuery: body}}
	for _, id := range ids {
		s := e.sessions[id]
		if s == nil || !e.post(s, frame, true) {
			return queryID, false
		}
	}
	return queryID, true
}

// sentToAll reports whether the batch was sent to every gateway that is known now. A
// gateway makes no claim before the others know it, so one that becomes known later
// holds no attempt yet.
func (e *Exchange) sentToAll(b *batch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids, complete := e.view.GatewaysWithPossibleAttempts()
	for _, id := range ids {
		if !slices.Contains(b.recipients, id) {
			return false
		}
	}
	return complete
}

// KnownToAll reports whether every gateway with a valid row knows this one. That is
// certain after the second heartbeat of a session: the peer may have sent the first
// one before it received the ID of this gateway.
func (e *Exchange) KnownToAll() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.view.IDsWithRow() {
		s := e.sessions[id]
		if s == nil || s.heartbeats < 2 {
			return false
		}
	}
	return true
}

// resolve sends the results to all queries of the batch.
func (b *batch) resolve(complete bool) {
	for i, q := range b.queries {
		q.noAttempt <- complete && !b.mayHaveAttempt[i]
	}
}

func (q *queries) add(b *batch) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	q.open[q.lastID] = b
	if len(b.pending) == 0 {
		close(b.done)
	}
	return q.lastID
}

// close removes a batch; later replies to it are ignored.
func (q *queries) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, id)
}

// reply records a peer's reply. A reply with the wrong number of values is ignored.
func (q *queries) reply(peer string, reply *peerpb.KeyReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.open[reply.GetId()]
	if b == nil || !b.pending[peer] || len(reply.GetMayHaveAttempt()) != len(b.queries) {
		return
	}
	delete(b.pending, peer)
	for i, mayHaveAttempt := range reply.GetMayHaveAttempt() {
		b.mayHaveAttempt[i] = b.mayHaveAttempt[i] || mayHaveAttempt
	}
	if len(b.pending) == 0 {
		close(b.done)
	}
}

// onQuery replies to a peer's query.
func (e *Exchange) onQuery(s *session, query *peerpb.KeyQuery) {
	reply := &peerpb.KeyReply{Id: query.GetId(), MayHaveAttempt: make([]bool, len(query.GetKeys()))}
	hasAttempt := e.config.Handler.HasAttempt
	for i, key := range query.GetKeys() {
		reply.MayHaveAttempt[i] = hasAttempt == nil || hasAttempt(key.GetService(), key.GetKey())
	}
	e.post(s, &peerpb.Frame{Body: &peerpb.Frame_KeyReply{KeyReply: reply}}, true)
}
