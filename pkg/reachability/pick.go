package reachability

import "math/rand/v2"

// pickServers returns up to count servers at random. It prefers those that are not in avoid and
// that recently reported their load, and then those of services and failure domains that are not
// among the others, because servers of one service or domain often fail together.
func pickServers(now int64, servers []Server, avoid map[string]bool, count int, random *rand.Rand) []Server {
	preference := func(s Server) int {
		switch {
		case avoid[s.Address]:
			return 0
		case s.ReportedAt == 0 || now-s.ReportedAt > int64(freshReport):
			return 1
		default:
			return 2
		}
	}
	var picked []Server
	order := random.Perm(len(servers))
	for len(picked) < min(count, len(servers)) {
		best, bestScore := -1, -1
		for _, i := range order {
			if containsAddress(picked, servers[i].Address) {
				continue
			}
			if score := maxNovelty*preference(servers[i]) + novelty(picked, servers[i]); score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			break
		}
		picked = append(picked, servers[best])
	}
	return picked
}

// maxNovelty is one more than the highest value of novelty.
const maxNovelty = 3

// novelty counts in how many respects a server differs from all that were picked: its service
// and its failure domain.
func novelty(picked []Server, server Server) int {
	service, domain := 1, 1
	for _, p := range picked {
		if p.Service == server.Service {
			service = 0
		}
		if p.FailureDomain == server.FailureDomain {
			domain = 0
		}
	}
	return service + domain
}

func containsAddress(servers []Server, address string) bool {
	for _, s := range servers {
		if s.Address == address {
			return true
		}
	}
	return false
}
