package edge

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	cutSeed  = flag.Uint64("cuts.seed", 1, "seed of the first run of TestSoakCuts")
	cutCount = flag.Int("cuts.count", 1, "number of runs of TestSoakCuts")
	cutSpan  = flag.Duration("cuts.length", 10*time.Second, "length of each run of TestSoakCuts")
)

// cutSoak is a run of gateways whose links to the servers fail and return at random while clients
// use them.
type cutSoak struct {
	gateways []cutGateway
	runs     *runCounter
	end      time.Time

	mu sync.Mutex
	// answers holds what the clients got, by the ID of the call.
	answers map[string]answer
}

// cutSoakServers is the number of servers, and cutSoakClients that of clients of each gateway.
const (
	cutSoakServers = 8
	cutSoakClients = 3
)

// cutAndRestore changes the links of one gateway after the other. At least one gateway keeps its
// links.
func (s *cutSoak) cutAndRestore(random *rand.Rand) {
	for time.Now().Before(s.end) {
		victims := random.Perm(len(s.gateways))[:1+random.IntN(len(s.gateways)-1)]
		states := []linkState{linkHangs, linkResets, linkRefuses}
		for _, i := range victims {
			s.gateways[i].links.set(states[random.IntN(len(states))])
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		for _, i := range victims {
			s.gateways[i].links.set(linkWhole)
		}
		time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	}
}

// sendCalls sends calls to a gateway, one after the other.
func (s *cutSoak) sendCalls(t *testing.T, gateway, client int) {
	paths := []string{"/read/x", "/book/x"}
	for n := 0; time.Now().Before(s.end); n++ {
		id := fmt.Sprintf("%d-%d-%d", gateway, client, n)
		got := s.gateways[gateway].send(t, paths[n%2], id, id)
		s.mu.Lock()
		s.answers[id] = got
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// check checks what callers and servers saw.
func (s *cutSoak) check(t *testing.T) {
	served := 0
	for id, got := range s.answers {
		runs := s.runs.of(id)
		var gateway, client, n int
		_, err := fmt.Sscanf(id, "%d-%d-%d", &gateway, &client, &n)
		assert.NilError(t, err)
		if n%2 == 1 {
			assert.Check(t, runs <= 1, "call %s ran %d times", id, runs)
			assert.Check(t, got.status != http.StatusServiceUnavailable || runs == 0, "call %s was refused and ran", id)
		} else {
			assert.Check(t, runs <= 2, "call %s ran %d times with two attempts", id, runs)
		}
		if got.status == http.StatusOK {
			served++
			assert.Check(t, runs > 0 && got.body == "answer to "+id, "call %s got %q", id, got.body)
		}
	}
	t.Logf("%d of %d calls served", served, len(s.answers))
}

// TestSoakCuts guards against calls that run twice, are refused although they ran, or get another
// call's answer, while gateways lose and regain their links to the servers in any order.
func TestSoakCuts(t *testing.T) {
	for n := range *cutCount {
		seed := *cutSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runCutSoak(t, seed) })
	}
}

func runCutSoak(t *testing.T, seed uint64) {
	store := storeWith()
	s := &cutSoak{runs: startServers(t, store, cutSoakServers), answers: make(map[string]answer)}
	s.gateways = startCutGateways(t, store, cutSoakServers, "first", "second", "third", "fourth")
	s.end = time.Now().Add(*cutSpan)
	var work sync.WaitGroup
	work.Go(func() { s.cutAndRestore(rand.New(rand.NewPCG(seed, 1))) })
	for gateway := range s.gateways {
		for client := range cutSoakClients {
			work.Go(func() { s.sendCalls(t, gateway, client) })
		}
	}
	work.Wait()
	s.check(t)
	for _, g := range s.gateways {
		eventually(t, g.settings.ID+" reaches the servers again", cutBound, func() bool { return !g.contact.Isolated() })
		assert.Check(t, !slices.ContainsFunc(s.sendSeries(t, g), func(a answer) bool { return a.status != http.StatusOK }))
	}
}

// sendSeries sends some calls after the last cut.
func (s *cutSoak) sendSeries(t *testing.T, g cutGateway) []answer {
	var answers []answer
	for n := range 10 {
		id := fmt.Sprintf("%s-after-%d", g.settings.ID, n)
		answers = append(answers, g.send(t, "/book/x", id, id))
	}
	return answers
}
