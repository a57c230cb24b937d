package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	storePort   = 8541
	readyPort   = 8542
	controlPort = 8544
	frontPort   = 8548
	serverPort  = 8080
	metricsPort = 9480

	// stablePeriod and gracePeriod are the bounds stableMs and graceS.
	stablePeriod = 4 * time.Second
	gracePeriod  = 6 * time.Second
)

// run is one run of a request at an instance.
type run struct {
	instance string
	at       time.Time
	done     bool
}

// reach is the arrival of a request at an instance.
type reach struct {
	id, instance string
	at           time.Time
	// removedAt is when the store acknowledged the removal of the instance's entry, the zero time
	// if it did not.
	removedAt time.Time
}

// deployment is a small deployment: gateway processes, and stand-ins of everything else.
type deployment struct {
	block    string
	dir      string
	store    *store
	began    time.Time
	gateways []*gateway
	log      *os.File

	mu      sync.Mutex
	runs    map[string][]run
	reached []reach
}

// newDeployment starts the store in a free block of loopback addresses.
func newDeployment(recordPath string) *deployment {
	log, err := os.Create(recordPath)
	if err != nil {
		fail("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "balsamhill-review-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	d := &deployment{dir: dir, store: newStore(), began: time.Now(), log: log, runs: map[string][]run{}}
	for range 50 {
		d.block = fmt.Sprintf("127.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.99:%d", d.block, storePort))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, d.store.handler()) }()
		return d
	}
	fail("no free loopback addresses")
	return nil
}

// record writes a line to record.txt.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.log, "%9.3f ", time.Since(d.began).Seconds())
	_, _ = fmt.Fprintf(d.log, format+"\n", args...)
}

func (d *deployment) requestReached(id string, i *instance, at, removedAt time.Time) {
	d.mu.Lock()
	d.reached = append(d.reached, reach{id: id, instance: i.id, at: at, removedAt: removedAt})
	d.mu.Unlock()
	late := ""
	if !removedAt.IsZero() {
		late = fmt.Sprintf(", %d ms after the store acknowledged the removal of its entry", at.Sub(removedAt).Milliseconds())
	}
	d.record("request %s reaches %s%s", id, i.id, late)
}

func (d *deployment) requestRuns(id string, i *instance) {
	d.mu.Lock()
	d.runs[id] = append(d.runs[id], run{instance: i.id, at: time.Now()})
	d.mu.Unlock()
	d.record("request %s runs at %s", id, i.id)
}

func (d *deployment) requestDone(id string, i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.runs[id] {
		if d.runs[id][n].instance == i.id {
			d.runs[id][n].done = true
		}
	}
}

// runsOf returns the runs of a request.
func (d *deployment) runsOf(id string) []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]run(nil), d.runs[id]...)
}

func (d *deployment) arrivals() []reach {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]reach(nil), d.reached...)
}

// route is a route of the configuration.
type route struct {
	service, kind       string
	timeoutMs, targetMs int
}

// writeConfig writes a configuration with one route for each service, under /SERVICE/.
func (d *deployment) writeConfig(version int, routes []route) {
	var wireRoutes, services []map[string]any
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name": "r-" + r.service, "host": "review.example", "prefix": "/" + r.service + "/", "kind": r.kind, "service": r.service,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs, "priority": 1, "maxAttempts": 2,
		})
		services = append(services, map[string]any{
			"name": r.service, "healthPath": "/health", "maxConns": 220, "protocol": "h1", "tls": false,
		})
	}
	d.store.put("op", "config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": wireRoutes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

var zones = []string{"uus-a", "uus-b", "pohj-a", "pohj-b"}

func regionOf(zone string) string {
	if strings.HasPrefix(zone, "uus") {
		return "uusimaa"
	}
	return "pohjanmaa"
}

// gateway is one gateway process.
type gateway struct {
	d        *deployment
	name     string
	ip       string
	settings string
	logPath  string

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
	// stopping is set from the SIGTERM to the next start.
	stopping bool
}

const settingsTemplate = `[self]
nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
inTolerance = false
bootstrap = true
[self.limits]
cpuShare = 0.32
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [7540,7555]
seeds = [%s]
[network.listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[network.zones]
uus-a = "uusimaa"
uus-b = "uusimaa"
pohj-a = "pohjanmaa"
pohj-b = "pohjanmaa"
[platform]
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
[platform.platform]
address = "%s.99:%d"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 4000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBurst = 56
recoveryS = 15
probesPerS = 60
`

// startGateways starts count gateways in the given zones by turns, and waits until they are ready.
func (d *deployment) startGateways(count int, inZones ...string) {
	seeds := fmt.Sprintf("\"%s.1:%d\",\"%s.2:%d\"", d.block, controlPort, d.block, controlPort)
	for n := range count {
		zone := inZones[n%len(inZones)]
		g := &gateway{d: d, name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d", d.block, n+1)}
		g.settings = filepath.Join(d.dir, g.name+".toml")
		g.logPath = filepath.Join(d.dir, g.name+".log")
		text := fmt.Sprintf(settingsTemplate, g.name, g.ip, zone, regionOf(zone), seeds,
			g.ip, frontPort, g.ip, readyPort, g.ip, controlPort, d.block, storePort)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		d.gateways = append(d.gateways, g)
		g.start()
	}
	for _, g := range d.gateways {
		g.awaitReady()
	}
}

// start starts the process as the deploy file does.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("gateway log: %v", err)
	}
	defer log.Close()
	command := exec.Command("target/balsamhilld", "platform", "-metrics", fmt.Sprint(metricsPort))
	command.Env = append(os.Environ(), "BALSAMHILL_NODE_FILE="+g.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		fail("gateway: %v", err)
	}
	g.command, g.ended, g.startedAt, g.stopping = command, make(chan struct{}), time.Now(), false
	ended := g.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	g.d.record("gateway %s starts", g.name)
}

// terminate sends SIGTERM, as the platform does to stop a process.
func (g *gateway) terminate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	_ = g.command.Process.Signal(syscall.SIGTERM)
	g.d.record("gateway %s gets SIGTERM", g.name)
}

// awaitEnd waits for the end of the process, and kills it after the grace period.
func (g *gateway) awaitEnd() {
	select {
	case <-g.ended:
	case <-time.After(gracePeriod):
		g.kill()
	}
	g.d.record("gateway %s has ended", g.name)
}

func (g *gateway) kill() {
	g.mu.Lock()
	command, ended := g.command, g.ended
	g.mu.Unlock()
	_ = command.Process.Kill()
	<-ended
}

func (g *gateway) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/balsamhill/ready", g.ip, readyPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.d.record("gateway %s is ready", g.name)
			return
		}
	}
	fail("gateway %s does not become ready", g.name)
}

// steady reports whether the machine of the gateway is in touch: it was neither started nor stopped
// within stablePeriod.
func (g *gateway) steady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopping && time.Since(g.startedAt) > stablePeriod
}

// close ends all processes. With KEEP_LOGS set, the logs of the gateways stay.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
