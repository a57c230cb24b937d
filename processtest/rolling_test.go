package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// frontBalancer models the load balancer in front of the gateways. It returns ready
// gateways in turn.
type frontBalancer struct {
	mu       sync.Mutex
	gateways []*gatewayProcess
	next     int
}

func (b *frontBalancer) replace(old, fresh *gatewayProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, g := range b.gateways {
		if g == old {
			b.gateways[i] = fresh
		}
	}
}

func (b *frontBalancer) pick() *gatewayProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.gateways[b.next%len(b.gateways)]
}

// rollingCaller sends calls sequentially. It repeats a call only if the connection was
// refused, so that the test detects every other failure.
type rollingCaller struct {
	id        int
	balancer  *frontBalancer
	client    *http.Client
	completed int
	refused   int
	failure   error
}

func (c *rollingCaller) run(stop *atomic.Bool) {
	for i := 0; !stop.Load() && c.failure == nil; i++ {
		path := fmt.Sprintf("/lesson-library/caller-%d-call-%d", c.id, i)
		c.failure = c.call(path)
	}
}

func (c *rollingCaller) call(path string) error {
	for {
		response, err := c.client.Get(c.balancer.pick().traffic + path)
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.refused++
			continue
		}
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		var decoded struct {
			Path string `json:"path"`
		}
		err = json.Unmarshal(body, &decoded)
		if err != nil || response.StatusCode != http.StatusOK || decoded.Path != path {
			return fmt.Errorf("%s: status %d, body %q", path, response.StatusCode, body)
		}
		c.completed++
		return nil
	}
}

// Guards the replacement of all gateways under load: no response is lost, truncated or
// delivered to the wrong call, and every new gateway has the same preset in force.
func TestRollingReplacement(t *testing.T) {
	f := startFleet(t)
	f.noticeMillis = 3000
	for range 3 {
		f.startServer("lesson-library", "khomas")
	}
	front := &frontBalancer{}
	for i := range 3 {
		front.gateways = append(front.gateways, f.startGateway(fmt.Sprintf("gw-%d", i+1), "khomas"))
	}
	for _, g := range front.gateways {
		f.waitForService(g, "lesson-library")
	}
	f.tool(0, "preset", "use", "peak")
	wantName, wantRevision := front.gateways[0].activePreset()
	assert.Equal(t, wantName, "peak")

	var stop atomic.Bool
	var group sync.WaitGroup
	callers := make([]*rollingCaller, 6)
	for i := range callers {
		// Every second caller opens a connection for each call, so that each call
		// tests its gateway. The others reuse connections.
		transport := &http.Transport{DisableKeepAlives: i%2 == 0}
		t.Cleanup(transport.CloseIdleConnections)
		callers[i] = &rollingCaller{id: i, balancer: front, client: &http.Client{Transport: transport}}
		group.Go(func() { callers[i].run(&stop) })
	}
	for i, old := range append([]*gatewayProcess(nil), front.gateways...) {
		fresh := f.startGateway(fmt.Sprintf("gw-new-%d", i+1), "khomas")
		f.waitForService(fresh, "lesson-library")
		name, revision := fresh.activePreset()
		assert.Equal(t, name, wantName)
		assert.Equal(t, revision, wantRevision)
		assert.NilError(t, old.command.Process.Signal(syscall.SIGTERM))
		// The balancer in front checks readiness, as the platform's balancer does. The
		// kernel resets a connection that arrives while the listener closes; the
		// notice period lets the balancer stop sending before that.
		eventually(t, "gateway not ready", func() bool {
			status, _ := get(old.admin + "/readyz")
			return status == http.StatusServiceUnavailable
		})
		front.replace(old, fresh)
		assert.NilError(t, old.command.Wait())
	}
	stop.Store(true)
	group.Wait()
	completed, refused := 0, 0
	for _, c := range callers {
		assert.NilError(t, c.failure, "caller %d", c.id)
		completed += c.completed
		refused += c.refused
	}
	t.Logf("%d calls completed, %d connections refused", completed, refused)
	assert.Assert(t, completed > 0)
	for _, g := range front.gateways {
		name, revision := g.activePreset()
		assert.Equal(t, name, wantName)
		assert.Equal(t, revision, wantRevision)
	}
}
