package main

import (
	"fmt"
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

// Ports of a gateway; each has a loopback address of its own.
const (
	frontPort   = 8548
	readyPort   = 8542
	controlPort = 8544
	firstPort   = 7540
	lastPort    = 7555
	metricsPort = 9480
)

// bounds are those of the site signline-gw.
const (
	stable        = 4 * time.Second
	drainDelay    = 2500 * time.Millisecond
	graceTime     = 6 * time.Second
	recoveryTime  = 15 * time.Second
	heartbeatTime = 1500 * time.Millisecond
)

// gateway is a process of the gateway.
type gateway struct {
	w        *world
	name, ip string
	zone     string
	settings string
	proxy    *storeProxy
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	client   *http.Client
}

// freeLoopback returns a loopback address whose gateway ports are free.
func freeLoopback(a, b, c int) (string, bool) {
	ip := fmt.Sprintf("127.%d.%d.%d", a, b, c)
	for _, port := range []int{frontPort, readyPort, controlPort, firstPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return "", false
		}
		_ = listener.Close()
	}
	return ip, true
}

// regions maps the zones of the cases to their regions.
var regions = map[string]string{"khomas-a": "khomas", "khomas-b": "khomas", "erongo-a": "erongo"}

func (g *gateway) writeSettings(seeds []string) error {
	var quoted []string
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed, controlPort)))
	}
	text := fmt.Sprintf(`[self]
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
internalPorts = [%d,%d]
seeds = [%s]
[network.listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[network.zones]
khomas-a = "khomas"
khomas-b = "khomas"
erongo-a = "erongo"
[platform]
discovery = "platform"
entry = "vip"
heartbeatMs = %d
[platform.platform]
address = %q
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
retryBurst = 62
recoveryS = 15
probesPerS = 60
`, g.name, g.ip, g.zone, regions[g.zone], firstPort, lastPort, strings.Join(quoted, ","), g.ip, frontPort, g.ip, readyPort,
		g.ip, controlPort, heartbeatTime.Milliseconds(), g.proxy.address())
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command(g.w.gatewayProgram, "platform", "-metrics", fmt.Sprint(metricsPort))
	g.command.Env = append(os.Environ(), "BALSAMHILL_NODE_FILE="+g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	err = g.command.Start()
	if err != nil {
		return err
	}
	g.w.record.note("gateway", g.name+" started")
	exited := make(chan struct{})
	g.exited = exited
	go func(command *exec.Cmd) {
		_ = command.Wait()
		close(exited)
	}(g.command)
	return nil
}

func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (g *gateway) stop() {
	g.w.record.note("gateway", g.name+" gets SIGTERM")
	g.signal(syscall.SIGTERM)
	select {
	case <-g.exited:
	case <-time.After(graceTime):
		g.signal(os.Kill)
		<-g.exited
	}
	g.w.record.note("gateway", g.name+" has ended")
}

func (g *gateway) kill() {
	if g.exited != nil {
		g.signal(os.Kill)
		<-g.exited
	}
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/balsamhill/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
