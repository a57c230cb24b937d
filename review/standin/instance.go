package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// instanceEvent is one line of an instance's output.
type instanceEvent struct {
	// At is in Unix microseconds.
	At        int64  `json:"at"`
	Kind      string `json:"kind"`
	Instance  string `json:"instance"`
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
}

// instance is a server of a service, as PROTOCOL.md describes it.
type instance struct {
	id          string
	slots       chan struct{}
	queueLength int64
	work        time.Duration
	reportLoad  bool
	// crashPath is the path whose requests end the process as soon as they run.
	crashPath string
	// hanging is set by SIGUSR1: a share of the requests then gets no answer, while the
	// health path answers.
	hanging   atomic.Bool
	hangShare float64
	present   atomic.Int64
	running   atomic.Int64
}

func serveInstance(args []string) error {
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	id := flags.String("id", "", "ID of the instance")
	listen := flags.String("listen", "", "host:port")
	slots := flags.Int("slots", 4, "requests that run at a time")
	queue := flags.Int64("queue", 16, "requests that may wait")
	work := flags.Duration("work", 100*time.Millisecond, "time to run a request")
	reportLoad := flags.Bool("load", true, "add Server-Load to answers")
	crashPath := flags.String("crash-path", "", "requests for this path end the process")
	hangShare := flags.Float64("hang-share", 0, "share of the requests that hang after SIGUSR1")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	i := &instance{
		id: *id, slots: make(chan struct{}, *slots), queueLength: *queue, work: *work,
		reportLoad: *reportLoad, crashPath: *crashPath, hangShare: *hangShare,
	}
	begin := make(chan os.Signal, 1)
	signal.Notify(begin, syscall.SIGUSR1)
	go func() {
		<-begin
		i.hanging.Store(true)
	}()
	return (&http.Server{Handler: i, IdleTimeout: 10 * time.Second}).Serve(listener)
}

func (i *instance) log(kind string, r *http.Request) {
	text, err := json.Marshal(instanceEvent{
		At: time.Now().UnixMicro(), Kind: kind, Instance: i.id, RequestID: r.Header.Get("Request-Id"), Path: r.URL.Path,
	})
	if err == nil {
		_, _ = os.Stdout.Write(append(text, '\n'))
	}
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.reportLoad {
		running := i.running.Load()
		w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", running, max(0, i.present.Load()-running), cap(i.slots)))
	}
	w.Header().Set("Instance-Id", i.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
		i.log("misdirected", r)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.log("arrives", r)
	i.present.Add(1)
	defer i.present.Add(-1)
	if i.present.Load() > int64(cap(i.slots))+i.queueLength {
		i.reject(w, r)
		return
	}
	var deadline <-chan time.Time
	if millis, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(millis) * time.Millisecond)
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case i.slots <- struct{}{}:
	case <-deadline:
		i.reject(w, r)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-i.slots }()
	i.running.Add(1)
	defer i.running.Add(-1)
	i.log("runs", r)
	if i.crashPath != "" && strings.HasPrefix(r.URL.Path, i.crashPath) {
		i.log("crashes", r)
		os.Exit(3)
	}
	work := time.After(i.work)
	if i.hanging.Load() && rand.Float64() < i.hangShare {
		work = nil
	}
	select {
	case <-work:
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		i.log("left", r)
		return
	}
	i.log("done", r)
	body := i.id + " " + r.Header.Get("Request-Id") + "\n"
	w.Header().Set("Response-Signature", fmt.Sprintf("%x.%d", len(body), time.Now().UnixNano()))
	_, _ = io.WriteString(w, body)
}

func (i *instance) reject(w http.ResponseWriter, r *http.Request) {
	i.log("rejects", r)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
