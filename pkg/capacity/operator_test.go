package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gateway"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/operator"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetoffer"
)

// newStatusDocument returns a /status document with the given number of servers.
func newStatusDocument(id string, servers int) gateway.StatusDocument {
	document := gateway.StatusDocument{ID: id, Region: localRegion, FailureDomain: "khomas-1", State: "ready", Preset: "peak"}
	byService := make(map[string]int)
	for _, vm := range serverList(size{servers: servers, services: min(servers, 47)}) {
		index, ok := byService[vm.Service]
		if !ok {
			index = len(document.Services)
			byService[vm.Service] = index
			document.Services = append(document.Services, gateway.ServiceStatus{Name: vm.Service, Policy: "hot-cold"})
		}
		service := &document.Services[index]
		service.Servers = append(service.Servers, gateway.ServerStatus{ID: vm.ID, Address: vm.Address, Region: vm.Region,
			FailureDomain: vm.FailureDomain, Availability: "available", Weight: 1})
	}
	return document
}

// fakeGateways respond immediately to the operator tool. The revision that they report
// is that of the last preset offered to them.
type fakeGateways struct {
	offers, notifies, statuses, statusBytes atomic.Int64
}

func (f *fakeGateways) start(tb testing.TB, id string) string {
	var revision atomic.Uint64
	document := newStatusDocument(id, 910)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case presetoffer.Path:
			f.offers.Add(1)
			var offer presetoffer.Offer
			_ = json.NewDecoder(r.Body).Decode(&offer)
			revision.Store(offer.Revision)
			w.WriteHeader(http.StatusNoContent)
		case "/notify":
			f.notifies.Add(1)
		default:
			f.statuses.Add(1)
			response := document
			response.Revision = revision.Load()
			body, err := json.MarshalIndent(response, "", "  ")
			if err != nil {
				panic(err)
			}
			n, _ := w.Write(body)
			f.statusBytes.Add(int64(n))
		}
	}))
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// BenchmarkCapacityOperator reports the requests and bytes of one change of the preset
// in force, for several numbers of gateways that respond immediately.
func BenchmarkCapacityOperator(b *testing.B) {
	for _, gateways := range fleetSizes {
		figures := measurePresetChange(b, gateways)
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) { report(b, figures) })
	}
}

func measurePresetChange(tb testing.TB, gateways int) map[string]float64 {
	p := startPlatform(tb, nil)
	fakes := &fakeGateways{}
	for i := range gateways {
		row := membership.Row{ID: gatewayID(i), Region: regionOf(i), FailureDomain: regionOf(i) + "-1",
			Incarnation: 1_780_000_000_000_000, Admin: fakes.start(tb, gatewayID(i)), State: membership.StateReady,
			Preset: "ordinary", Revision: 4, InForceSince: time.Now(), WrittenAt: time.Now()}
		value, err := json.Marshal(row)
		assert.NilError(tb, err)
		p.client.Commit(tb.Context(), platform.Txn{
			Writes: []platform.Write{{Key: membership.RowPrefix + row.ID, Value: value}}})
	}
	p.requests.takeCounts()
	start := time.Now()
	exit := operator.Run(tb.Context(), []string{"preset", "use", "peak", "-why", "benchmark"}, p.URL, io.Discard, io.Discard)
	elapsed := time.Since(start)
	assert.Equal(tb, exit, 0)
	calls, bytes := p.requests.takeCounts()
	return map[string]float64{
		"store-reads":  float64(calls["/table/get"] + calls["/table/scan"] + calls["/table/changes"]),
		"store-writes": float64(calls["/table/commit"]),
		"rows-B":       float64(bytes["/table/scan"]),
		"offers":       float64(fakes.offers.Load()),
		"notifies":     float64(fakes.notifies.Load()),
		"statuses":     float64(fakes.statuses.Load()),
		"status-MB":    float64(fakes.statusBytes.Load()) / 1e6,
		"s/change":     elapsed.Seconds(),
	}
}

// Guards the measurement: a change must take one transaction, and each gateway must
// receive the preset once.
func TestChangeIsOfferedOnce(t *testing.T) {
	figures := measurePresetChange(t, 3)
	assert.Equal(t, figures["store-writes"], 1.0)
	assert.Equal(t, figures["offers"], 3.0)
}

// BenchmarkCapacityReader measures how long a gateway takes to decode the VM list and
// to find the changes of its server summary.
func BenchmarkCapacityReader(b *testing.B) {
	for _, s := range sizes {
		document, err := json.Marshal(platform.VMListResponse{VMs: serverList(s)})
		assert.NilError(b, err)
		elapsed := meanMicros(func() {
			var response platform.VMListResponse
			assert.NilError(b, json.Unmarshal(document, &response))
		})
		b.Run(s.String()+"/decode", func(b *testing.B) {
			report(b, map[string]float64{"µs/list": elapsed, "B/list": float64(len(document))})
		})
	}
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	exchange := peer.New(peer.Config{
		Self:          membership.Gateway{ID: gatewayID(0), Region: localRegion},
		Network:       newNetwork().listen(peerAddress(0), localRegion),
		CurrentPreset: func() (uint64, []byte) { return 0, nil },
		State:         func() membership.State { return membership.StateReady },
	})
	running.Go(func() { exchange.Run(ctx) })
	for _, s := range sizes {
		loads := serverLoads(s.servers)
		elapsed := meanMicros(func() { exchange.ShareSummary(loads) })
		b.Run(s.String()+"/summary", func(b *testing.B) {
			report(b, map[string]float64{"µs/summary": elapsed})
		})
	}
}
