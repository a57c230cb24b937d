package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"balsamhill/pkg/peer/peerpb"
)

const (
	// batchTime is how long a query waits for others that are asked with it.
	batchTime = 5 * time.Millisecond
	// queryTime bounds a query from its start to the last reply.
	queryTime = 100 * time.Millisecond
	// waitingQueries bounds the queries that wait for a batch.
	waitingQueries = 1024
)

// query is one call of QueryKey.
type query struct {
	key *peerpb.Key
	// answer has room for one value, so that nobody waits for a caller that left.
	answer chan bool
}

// batch is a group of queries that were asked together.
type batch struct {
	// asked holds the gateways that the batch went to.
	asked   []string
	queries []query
	// missing holds the peers that did not reply yet.
	missing map[string]bool
	mayHave []bool
	done    chan struct{}
}

type queries struct {
	incoming chan query

	mu     *sync.Mutex
	lastID uint64
	open   map[uint64]*batch
}

func newQueries() queries {
	return queries{incoming: make(chan query, waitingQueries), mu: &sync.Mutex{}, open: make(map[uint64]*batch)}
}

// QueryKey reports whether every other gateway that may hold an attempt of the
// key answered in time that it has none. It implements claimstore.PeerQuery.
func (e *Exchange) QueryKey(ctx context.Context, service, key string) bool {
	if len(key) > maxKeyBytes || len(service) > maxNameBytes {
		return false
	}
	q := query{key: &peerpb.Key{Service: service, Key: key}, answer: make(chan bool, 1)}
	timer := time.NewTimer(queryTime)
	defer timer.Stop()
	select {
	case e.queries.incoming <- q:
	default:
		e.counters.QueriesFailed.Add(1)
		return false
	}
	select {
	case noAttempt := <-q.answer:
		return noAttempt
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// runQueries forms batches until ctx ends.
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
	timer := time.NewTimer(batchTime)
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

// startBatch asks all peers and answers the queries when the replies are in.
func (e *Exchange) startBatch(ctx context.Context, collected []query) {
	b := &batch{
		queries: collected,
		missing: make(map[string]bool),
		mayHave: make([]bool, len(collected)),
		done:    make(chan struct{}),
	}
	id, asked := e.ask(b)
	if !asked {
		e.queries.close(id)
		e.counters.QueriesFailed.Add(uint64(len(collected)))
		b.answer(false)
		return
	}
	go func() {
		timer := time.NewTimer(queryTime)
		defer timer.Stop()
		complete := false
		select {
		case <-b.done:
			complete = e.askedAll(b)
		case <-timer.C:
		case <-ctx.Done():
		}
		e.queries.close(id)
		if !complete {
			e.counters.QueriesFailed.Add(uint64(len(collected)))
		}
		b.answer(complete)
	}()
}

// ask sends the batch to every gateway that may hold calls. It reports false if
// one of them cannot be asked, or if the gateway rows were never read, because
// then there may be gateways that this one does not know.
func (e *Exchange) ask(b *batch) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids, complete := e.view.PossibleAttemptHolders()
	b.asked = ids
	for _, id := range ids {
		b.missing[id] = true
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

// askedAll reports whether no gateway became known while the answers came in. A
// gateway claims nothing before the others know it, so one that becomes known
// later holds no attempt yet.
func (e *Exchange) askedAll(b *batch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids, complete := e.view.PossibleAttemptHolders()
	for _, id := range ids {
		if !slices.Contains(b.asked, id) {
			return false
		}
	}
	return complete
}

// KnownToAll reports whether every gateway with a valid row knows this one. The
// second heartbeat of a session proves that: the first may have been sent before
// the peer learned who is at the other end.
func (e *Exchange) KnownToAll() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.view.WithRows() {
		s := e.sessions[id]
		if s == nil || s.heartbeats < 2 {
			return false
		}
	}
	return true
}

// answer ends all queries of the batch.
func (b *batch) answer(complete bool) {
	for i, q := range b.queries {
		q.answer <- complete && !b.mayHave[i]
	}
}

func (q *queries) add(b *batch) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	q.open[q.lastID] = b
	if len(b.missing) == 0 {
		close(b.done)
	}
	return q.lastID
}

// close ends a batch; replies after it are ignored.
func (q *queries) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, id)
}

// reply takes a peer's reply. One with the wrong number of answers counts as no
// reply at all.
func (q *queries) reply(peer string, reply *peerpb.KeyReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.open[reply.GetId()]
	if b == nil || !b.missing[peer] || len(reply.GetMayHaveAttempt()) != len(b.queries) {
		return
	}
	delete(b.missing, peer)
	for i, mayHave := range reply.GetMayHaveAttempt() {
		b.mayHave[i] = b.mayHave[i] || mayHave
	}
	if len(b.missing) == 0 {
		close(b.done)
	}
}

// onQuery answers a peer's query.
func (e *Exchange) onQuery(s *session, asked *peerpb.KeyQuery) {
	reply := &peerpb.KeyReply{Id: asked.GetId(), MayHaveAttempt: make([]bool, len(asked.GetKeys()))}
	hasAttempt := e.config.Handler.HasAttempt
	for i, key := range asked.GetKeys() {
		reply.MayHaveAttempt[i] = hasAttempt == nil || hasAttempt(key.GetService(), key.GetKey())
	}
	e.post(s, &peerpb.Frame{Body: &peerpb.Frame_KeyReply{KeyReply: reply}}, true)
}
