package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	second = int64(time.Second)
	step   = 10 * int64(time.Millisecond)
	// stableTime, window, slack and settleTime are those of the users' rule.
	stableTime = 4 * second
	window     = 4 * second
	slack      = 5
	settleTime = second / 2
	service    = 1
)

// message is a datagram on its way.
type message struct {
	at       int64
	from, to int
	notices  []Notice
	demand   float64
	sentAt   int64
}

// simulatedGateway is a gateway with its own clock.
type simulatedGateway struct {
	book *Book
	gate *Gate
	// offset is the difference between its clock and that of the simulation.
	offset  int64
	domain  string
	strong  bool
	demand  float64
	stopped bool
	// pausedUntil is when a pause of the process ends, excusedUntil until when the
	// requests of the gateway do not count.
	pausedUntil, excusedUntil int64
	// cut says that it reaches no other gateway.
	cut bool
	// heard holds the time and the demand of the last message of the others.
	heard  map[int]int64
	wants  map[int]float64
	toldAt int64
	due    float64
}

// simulation is one server with a limit and the gateways that use it.
type simulation struct {
	random   *rand.Rand
	now      int64
	gateways []*simulatedGateway
	inFlight []message
	limit    float64
	named    bool
	namedAt  int64
	server   Server
	loss     float64
	// sendEvery is the number of steps between two messages of a gateway.
	sendEvery int64
	// arrivals holds the times of requests from gateways that count.
	arrivals []int64
	sent     int
}

const serverKey = uint32(77)

func newSimulation(random *rand.Rand, gateways, domains int, limit float64) *simulation {
	sim := &simulation{random: random, now: 100 * second, limit: limit, server: Server{Service: service, FailureDomain: "d0", Coverage: OwnGroup}, sendEvery: 5}
	for i := range gateways {
		sim.start(i, fmt.Sprintf("d%d", i%domains), random.IntN(4) > 0 || i == 0, 0.5+10*random.Float64())
	}
	return sim
}

func (s *simulation) start(i int, domain string, strong bool, demand float64) {
	g := &simulatedGateway{
		book: NewBook(keyOf(i)), gate: &Gate{}, offset: s.random.Int64N(50 * second), domain: domain, strong: strong,
		demand: demand, heard: map[int]int64{}, wants: map[int]float64{},
	}
	if i < len(s.gateways) {
		s.gateways[i] = g
		return
	}
	s.gateways = append(s.gateways, g)
}

func keyOf(i int) uint64 { return uint64(i + 1) }

func (g *simulatedGateway) clock(now int64) int64 { return now + g.offset }

// view is what gateway i knows, by the messages that it received.
func (s *simulation) view(i int) View {
	g := s.gateways[i]
	view := View{Live: 1, Known: 1, Server: func(uint32) (Server, bool) { return s.server, true }}
	add := func(j int, demand float64) {
		view.Members = append(view.Members, Member{
			Key: keyOf(j), FailureDomain: s.gateways[j].domain, MayCoordinate: s.gateways[j].strong,
			Demand: map[uint32]float64{service: demand},
		})
	}
	add(i, g.demand)
	for j := range s.gateways {
		heardAt, ok := g.heard[j]
		if !ok || s.now-heardAt > 30*second {
			continue
		}
		view.Known++
		if s.now-heardAt <= 600*int64(time.Millisecond) {
			view.Live++
			add(j, g.wants[j])
		}
	}
	return view
}

// tick advances the time by one step.
func (s *simulation) tick() {
	s.now += step
	pending := s.inFlight[:0]
	for _, m := range s.inFlight {
		switch {
		case m.at > s.now || s.now < s.gateways[m.to].pausedUntil:
			pending = append(pending, m)
		default:
			s.deliver(m)
		}
	}
	s.inFlight = pending
	for i, g := range s.gateways {
		if g.stopped || s.now < g.pausedUntil {
			continue
		}
		s.run(i, g)
	}
}

func (s *simulation) deliver(m message) {
	g := s.gateways[m.to]
	if g.stopped || g.cut {
		return
	}
	g.heard[m.from], g.wants[m.from] = s.now, m.demand
	for _, notice := range m.notices {
		// The receiver knows how long the message was delayed; see package delay.
		delayed := time.Duration(s.now - m.sentAt)
		notice.Age += delayed
		notice.SinceAge += delayed
		leases := notice.Leases
		notice.Leases = nil
		for _, lease := range leases {
			lease.TTL -= delayed
			notice.Leases = append(notice.Leases, lease)
		}
		g.book.Apply(g.clock(s.now), keyOf(m.from), notice)
	}
}

func (s *simulation) run(i int, g *simulatedGateway) {
	now := g.clock(s.now)
	if answers := g.gate.TakeAnswers(); answers != (Answers{}) {
		if answers.NamedAt != 0 {
			g.book.Name(answers.NamedAt, serverKey, answers.Rate)
		}
		if answers.UnnamedAt != 0 {
			g.book.End(answers.UnnamedAt, serverKey, answers.UnnamedSentAt)
		}
	}
	if (s.now/step+int64(i))%s.sendEvery == 0 {
		s.send(i, g, g.book.Tick(now, s.view(i)))
	}
	for _, allowance := range g.book.Allowances(now) {
		g.gate.Allow(now, allowance)
	}
	g.due += g.demand * time.Duration(step).Seconds()
	for ; g.due >= 1; g.due-- {
		if g.gate.Take(now) {
			s.request(g, now)
		}
	}
}

func (s *simulation) send(i int, g *simulatedGateway, notices []Notice) {
	for j := range s.gateways {
		if j == i || g.cut || s.random.Float64() < s.loss {
			continue
		}
		delay := s.random.Int64N(40 * int64(time.Millisecond))
		if s.random.IntN(50) == 0 {
			delay = s.random.Int64N(second)
		}
		s.inFlight = append(s.inFlight, message{at: s.now + delay, sentAt: s.now, from: i, to: j, notices: notices, demand: g.demand})
	}
}

// request is a request whose answer arrives at once.
func (s *simulation) request(g *simulatedGateway, now int64) {
	s.sent++
	if !s.named {
		g.gate.RecordUnnamed(now, now)
		return
	}
	if g.toldAt != 0 && s.now-g.toldAt >= settleTime && s.now >= g.excusedUntil && !g.cut {
		s.arrivals = append(s.arrivals, s.now)
	}
	if g.toldAt == 0 {
		g.toldAt = s.now
	}
	g.gate.RecordNamed(now, s.limit)
}

func (s *simulation) name(limit float64) {
	s.limit, s.named, s.namedAt = limit, true, s.now
	s.arrivals = nil
}

// mostInWindow returns the highest number of arrivals in any window that begins
// stableTime after the limit was named.
func (s *simulation) mostInWindow() int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first] <= at-window || s.arrivals[first] < s.namedAt+stableTime {
			first++
			if first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *simulation) allowed() float64 {
	return 1.5*s.limit*time.Duration(window).Seconds() + slack
}

func (s *simulation) runFor(d int64) {
	for end := s.now + d; s.now < end; {
		s.tick()
	}
}

// TestGatewaysKeepToLimitTogether guards against gateways that together send a server
// more than the limit that it named, for any number of gateways, while messages are
// lost and delayed, demand moves, and gateways join, stop, pause, restart and are cut
// off.
func TestGatewaysKeepToLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		count := rapid.IntRange(1, 24).Draw(t, "gateways")
		sim := newSimulation(random, count, rapid.IntRange(1, 3).Draw(t, "domains"), 0)
		sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		sim.runFor(2 * second)
		sim.name(rapid.SampledFrom([]float64{0, 0.5, 1.5, 2.5, 7, 30}).Draw(t, "limit"))
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			i := random.IntN(len(sim.gateways))
			g := sim.gateways[i]
			switch random.IntN(6) {
			case 0:
				g.pausedUntil = sim.now + random.Int64N(5*second)
				g.excusedUntil = g.pausedUntil + 4*second
			case 1:
				g.cut = !g.cut
				g.excusedUntil = sim.now + 4*second
			case 2:
				sim.start(i, g.domain, g.strong, g.demand)
				sim.gateways[i].excusedUntil = sim.now + 4*second
			case 3:
				g.demand = 0.5 + 20*random.Float64()
			case 4:
				if len(sim.gateways) < 30 {
					sim.start(len(sim.gateways), g.domain, true, g.demand)
				}
			case 5:
				g.stopped = true
			}
			sim.runFor(random.Int64N(3 * second))
		}
		sim.runFor(5 * second)
		if most := sim.mostInWindow(); float64(most) > sim.allowed() {
			t.Fatalf("%d requests in a window, %v allowed", most, sim.allowed())
		}
	})
}

// TestLimitIsUsed guards against a limit that nobody may use: leases that go to
// gateways without calls, or that are too small to send a request.
func TestLimitIsUsed(t *testing.T) {
	for _, test := range []struct {
		gateways, domains int
		limit             float64
	}{{1, 1, 3}, {18, 2, 4}, {18, 2, 40}, {60, 1, 60}, {139, 1, 2.5}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			sim := newSimulation(rand.New(rand.NewPCG(7, uint64(test.gateways))), test.gateways, test.domains, 0)
			if test.gateways > 30 {
				// Messages of large groups are rarer, as in package edge.
				sim.sendEvery = 20
			}
			sim.runFor(2 * second)
			sim.name(test.limit)
			sim.runFor(6 * second)
			before := sim.sent
			sim.runFor(10 * second)
			used := float64(sim.sent-before) / 10
			assert.Assert(t, used <= test.limit && used >= 0.7*test.limit, "%v of %v requests a second", used, test.limit)
			most := sim.mostInWindow()
			assert.Assert(t, float64(most) <= sim.allowed(), "%d requests in a window, %v allowed", most, sim.allowed())
		})
	}
}

// TestLimitChangesAndEnds guards against gateways that keep to a limit that the server
// changed or no longer names.
func TestLimitChangesAndEnds(t *testing.T) {
	sim := newSimulation(rand.New(rand.NewPCG(3, 9)), 12, 2, 0)
	sim.runFor(2 * second)
	sim.name(20)
	sim.runFor(8 * second)
	sim.name(2)
	sim.runFor(8 * second)
	most := sim.mostInWindow()
	assert.Assert(t, float64(most) <= sim.allowed(), "%d requests in a window, %v allowed", most, sim.allowed())
	sim.named = false
	sim.runFor(3 * second)
	before, total := sim.sent, 0.0
	sim.runFor(5 * second)
	for _, g := range sim.gateways {
		total += g.demand
		assert.Assert(t, !g.gate.Limited())
	}
	assert.Assert(t, float64(sim.sent-before) > 0.95*5*total)
}

// TestOlderAnswerDoesNotEndLimit guards against a limit that ends with an answer that
// the server may have made before it named the limit.
func TestOlderAnswerDoesNotEndLimit(t *testing.T) {
	book := NewBook(1)
	assert.Assert(t, book.Name(10*second, serverKey, 3))
	assert.Assert(t, !book.End(11*second, serverKey, 9*second))
	assert.DeepEqual(t, book.Limited(), []uint32{serverKey})
	assert.Assert(t, book.End(12*second, serverKey, 11*second))
	assert.Equal(t, len(book.Limited()), 0)
	assert.Assert(t, !book.Apply(13*second, 2, Notice{Server: serverKey, Rate: 3, Age: 3 * time.Second, SinceAge: 3 * time.Second}))
}

// TestDividedGroupKeepsToLimit guards against two parts of a group that cannot hear
// each other and each use the whole limit.
func TestDividedGroupKeepsToLimit(t *testing.T) {
	for live := 1; live < 10; live++ {
		both := leasableRate(4, live, 10) + leasableRate(4, 10-live, 10)
		assert.Assert(t, both <= 4, "%d of 10: %v", live, both)
	}
}

// TestRestartedServerHasNoLimit guards against the limit of an earlier start of a server.
func TestRestartedServerHasNoLimit(t *testing.T) {
	book := NewBook(1)
	book.Name(10*second, serverKey, 3)
	book.Forget(12*second, serverKey)
	assert.Assert(t, !book.Apply(12*second, 2, Notice{Server: serverKey, Rate: 3, Age: time.Second, SinceAge: 2 * time.Second}))
	assert.Equal(t, len(book.Allowances(12*second)), 0)
	assert.Assert(t, book.Name(13*second, serverKey, 3))
}
