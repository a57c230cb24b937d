package handoff

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRequestSurvivesEncoding guards against attempts that the second gateway does not know of.
func TestRequestSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			Gateway: rapid.String().Draw(t, "gateway"), Sent: rapid.IntRange(0, 4).Draw(t, "sent"),
			Caller:     rapid.SampledFrom([]netip.Addr{{}, netip.MustParseAddr("10.1.0.7"), netip.MustParseAddr("2001:db8::1")}).Draw(t, "caller"),
			MayHaveRun: rapid.IntRange(0, 4).Draw(t, "mayHaveRun"), Counted: rapid.Bool().Draw(t, "counted"),
		}
		parsed, err := ParseRequest(request.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, request)
	})
}

// TestUnreadableRequestIsRefused guards against a call that is taken for one without earlier
// attempts because what its gateway said cannot be read.
func TestUnreadableRequestIsRefused(t *testing.T) {
	for _, text := range []string{"", "sent=1", "sent=-1&ran=0&counted=true", "sent=x&ran=0&counted=true", "sent=1&ran=1&counted=", "caller=x&sent=0&ran=0&counted=true", "%zz"} {
		_, err := ParseRequest(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func drawCandidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		sameRegion := rapid.Bool().Draw(t, "sameRegion")
		return Candidate{
			Heard: rapid.Bool().Draw(t, "heard"), SameRegion: sameRegion, SameDomain: sameRegion && rapid.Bool().Draw(t, "sameDomain"),
			InFlight: rapid.Int64Range(0, 5).Draw(t, "inFlight"), SuspendedUntil: rapid.Int64Range(0, 20).Draw(t, "suspendedUntil"),
		}
	}), 0, 20).Draw(t, "candidates")
}

// TestChosenGatewayIsUnbeaten guards against calls that go to a gateway of another region, to one
// that failed a moment ago, or to a busy one, while there is a better one.
func TestChosenGatewayIsUnbeaten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 10
		candidates := drawCandidates(t)
		chosen := Choose(now, candidates, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		var chosenCandidate Candidate
		if chosen >= 0 {
			chosenCandidate = candidates[chosen]
			assert.Assert(t, chosenCandidate.Heard || chosenCandidate.SuspendedUntil <= now)
		}
		eligible := slices.DeleteFunc(candidates, func(c Candidate) bool { return !c.Heard && c.SuspendedUntil > now })
		assert.Equal(t, chosen < 0, len(eligible) == 0)
		for _, c := range eligible {
			assert.Assert(t, !c.before(now, chosenCandidate))
		}
	})
}

// TestCallsSpreadOverGateways guards against a gateway that gets all calls of another one: none
// has more than twice as many as another of its failure domain, or four times as many as one of
// another domain.
func TestCallsSpreadOverGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		domains := rapid.SliceOfN(rapid.Bool(), 1, 10).Draw(t, "sameDomain")
		candidates := make([]Candidate, len(domains))
		for i, same := range domains {
			candidates[i] = Candidate{Heard: true, SameRegion: true, SameDomain: same}
		}
		for range 100 * len(candidates) {
			candidates[Choose(1, candidates, random)].InFlight++
		}
		least, most := map[bool]int64{}, map[bool]int64{}
		for _, c := range candidates {
			if count, ok := least[c.SameDomain]; !ok || c.InFlight < count {
				least[c.SameDomain] = c.InFlight
			}
			most[c.SameDomain] = max(most[c.SameDomain], c.InFlight)
		}
		for same := range least {
			assert.Assert(t, most[same] <= 2*least[same])
		}
		if len(least) == 2 {
			assert.Assert(t, most[true] <= 4*least[false])
		}
	})
}
