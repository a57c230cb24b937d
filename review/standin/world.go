package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// world is a small deployment: store, gateways, instances and requesters.
type world struct {
	record         *record
	dir            string
	gatewayProgram string
	trouble        bool
	store          *store
	storeServer    *http.Server
	storeAddress   string
	gateways       []*gateway
	// seeds are the addresses of the gateways at which others register.
	seeds []string

	mu        sync.Mutex
	instances []*instanceProcess
	events    []instanceEvent
	// sentTo holds the gateway that got a request, by its ID.
	sentTo map[string]sent
	nextID int
	// version is that of the newest configuration.
	version int
}

// sent is a request as its requester sent it.
type sent struct {
	at      time.Time
	gateway *gateway
	path    string
}

// instanceProcess is an instance that runs as a process of its own.
type instanceProcess struct {
	w                          *world
	id, service, zone, address string
	flags                      []string
	slots                      int
	command                    *exec.Cmd
	exited                     chan struct{}
	seq                        int
	born                       int64
}

func newWorld(recordPath, gatewayProgram string, trouble bool) (*world, error) {
	if _, err := os.Stat(gatewayProgram); err != nil {
		return nil, fmt.Errorf("the gateway is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, dir: dir, gatewayProgram: gatewayProgram, trouble: trouble, store: newStore(),
		storeAddress: listener.Addr().String(), sentTo: map[string]sent{},
	}
	w.storeServer = &http.Server{Handler: w.store.handler()}
	go func() { _ = w.storeServer.Serve(listener) }()
	w.record.note("case", fmt.Sprintf("disruption: %t", trouble))
	return w, nil
}

// endOnSignal ends the case, and all processes that it started, at SIGTERM and SIGINT.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.record.note("result", "could not run: ended by a signal")
		w.close()
		os.Exit(2)
	}()
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
		g.proxy.close()
	}
	w.mu.Lock()
	instances := w.instances
	w.mu.Unlock()
	for _, i := range instances {
		i.kill()
	}
	_ = w.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	w.record.close()
}

// startGateways starts one gateway in each of the zones and waits until all are ready.
func (w *world) startGateways(zones ...string) error {
	for attempt := 0; len(w.gateways) < len(zones); attempt++ {
		if attempt > 50 {
			return errors.New("no free loopback addresses")
		}
		ip, ok := freeLoopback(16+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		if !ok {
			continue
		}
		number := len(w.gateways)
		proxy, err := newStoreProxy(w.storeAddress)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("front-%s-%d", zones[number], number+1)
		w.gateways = append(w.gateways, &gateway{
			w: w, name: name, ip: ip, zone: zones[number], proxy: proxy, settings: w.dir + "/" + name + ".toml",
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}},
		})
		if number < 3 {
			w.seeds = append(w.seeds, ip)
		}
	}
	for _, g := range w.gateways {
		err := g.writeSettings(w.seeds)
		if err != nil {
			return err
		}
		err = g.start()
		if err != nil {
			return err
		}
	}
	return w.waitReady()
}

// waitReady waits until all gateways are ready.
func (w *world) waitReady() error {
	return w.waitFor("gateways are ready", 20*time.Second, func() bool {
		for _, g := range w.gateways {
			if !g.ready() {
				return false
			}
		}
		return true
	})
}

func (w *world) waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not met within %s", what, limit)
}

// route is a route of a configuration.
type route struct {
	service, kind       string
	timeoutMs, targetMs int
	maxAttempts         int
	// prefix is that of the service's name if it is empty.
	prefix string
}

// writeConfig writes a configuration with one route for each service, and returns the time
// of its ack.
func (w *world) writeConfig(routes ...route) time.Time {
	var wireRoutes, services []map[string]any
	for _, r := range routes {
		if r.prefix == "" {
			r.prefix = "/" + r.service + "/"
		}
		wireRoutes = append(wireRoutes, map[string]any{
			"name": "r-" + r.service, "host": host, "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs, "maxAttempts": r.maxAttempts, "priority": 1,
		})
		services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConns": 260})
	}
	w.version += 2
	ack := w.store.put("op", "config", map[string]any{
		"version": fmt.Sprintf("%08x", w.version), "routes": wireRoutes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000,
		},
	})
	w.record.note("operator", fmt.Sprintf("writes version %08x of the configuration", w.version))
	return ack
}

// startInstance starts an instance and registers it.
func (w *world) startInstance(id, service, zone string, slots int, flags ...string) (*instanceProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	_ = listener.Close()
	i := &instanceProcess{w: w, id: id, service: service, zone: zone, address: address, flags: flags, slots: slots}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	return i, i.start()
}

// start starts the process, waits until it listens and registers it as ready.
func (i *instanceProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := append([]string{"server", "-id", i.id, "-listen", i.address, "-slots", fmt.Sprint(i.slots)}, i.flags...)
	i.command = exec.Command(program, arguments...)
	i.command.Stderr = os.Stderr
	output, err := i.command.StdoutPipe()
	if err != nil {
		return err
	}
	err = i.command.Start()
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	go func(command *exec.Cmd) {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			var event instanceEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil {
				i.w.addEvent(event)
			}
		}
		_ = command.Wait()
		close(exited)
	}(i.command)
	err = i.w.waitFor("instance "+i.id+" listens", 5*time.Second, func() bool {
		conn, err := net.Dial("tcp", i.address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	i.born, i.seq = time.Now().UnixMilli(), 0
	i.register("ready")
	return err
}

func (i *instanceProcess) register(state string) {
	i.seq++
	i.w.store.put("servers", i.id, map[string]any{
		"address": i.address, "born": i.born,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
		"status": map[string]any{"state": state, "seq": i.seq, "warmupLeftMs": 0},
	})
	i.w.record.note("instance", fmt.Sprintf("%s of %s registers as %s, born %d", i.id, i.service, state, i.born))
}

func (i *instanceProcess) kill() {
	if i.exited != nil {
		_ = i.command.Process.Kill()
		<-i.exited
	}
}

func (w *world) addEvent(event instanceEvent) {
	w.mu.Lock()
	w.events = append(w.events, event)
	w.mu.Unlock()
	w.record.add(time.UnixMicro(event.At), event.Kind, fmt.Sprintf("%s at %s %s", event.RequestID, event.Instance, event.Path))
}

// eventsOf returns the events of a kind for paths that begin with a prefix.
func (w *world) eventsOf(kind, prefix string) []instanceEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []instanceEvent
	for _, event := range w.events {
		if event.Kind == kind && strings.HasPrefix(event.Path, prefix) {
			found = append(found, event)
		}
	}
	return found
}

// sender returns the request with an ID as it was sent.
func (w *world) sender(id string) sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentTo[id]
}
